"""Crowds of clients that do not behave, against the processes as the deploy file starts them."""
