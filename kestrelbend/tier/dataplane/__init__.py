"""The data plane: an HTTP reverse proxy that forwards clients' requests to backends.

`app.build_data_plane` constructs it.  Other roles import only `server`, so this package imports nothing.
"""
