"""The HTTP/1.1 server of the tier's processes, with bounds for the memory of all connections together.

`server` accepts, `connection` reads and writes one connection, `connection_table` bounds how many there are,
`request_body` and `body_budget` bound the bodies that are held.
"""
