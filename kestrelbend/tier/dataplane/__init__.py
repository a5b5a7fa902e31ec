"""The data plane: takes clients' requests, forwards them to backends and passes the answers on."""

from .app import DataPlane, assemble
from .life import Life
from .network import TcpNetwork
from .ready import ReadyApplication
from .server import Listener, serve_all

__all__ = ["DataPlane", "Life", "Listener", "ReadyApplication", "TcpNetwork", "assemble", "serve_all"]
