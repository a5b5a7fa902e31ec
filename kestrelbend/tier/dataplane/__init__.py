"""The data plane: takes clients' requests, forwards them to backends and passes the answers on.

`app.assemble` puts it together; `server` alone is what other roles use, so nothing is imported here.
"""
