"""What customers use over all gateways: usage reports to a meter, and the quota shares that it announces.

`messages` are the datagrams, `pending` is the use that one gateway has not reported yet, `meter` sums all
reports, `exchange.MeteredUsageExchange` is one gateway's end, `errors` the typed errors.
"""
