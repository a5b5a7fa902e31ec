"""Sharing of customers' usage between gateways.

Each gateway reports the usage that it has seen to one elected gateway, the meter. The meter sums the reports
and announces the share of each customer's requests that its quota allows.

`messages` defines the datagrams, `pending` accumulates the usage that a gateway has not reported yet, `meter`
sums the reports, `exchange.MeteredUsageExchange` runs the protocol on one gateway, `errors` defines the
exceptions.
"""
