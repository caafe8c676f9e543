"""HTTP server for operators."""

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from goldcresthoist.config import split_address
from goldcresthoist.operators import _handlers
from goldcresthoist.operators.authentication import Challenges, operator_key

__all__ = ["OperatorServer"]

MAX_BODY_BYTES = 4 * 2**20
IDLE_TIMEOUT_S = 60
# This limits how long a client that sends its request slowly occupies a connection.
BODY_TIMEOUT_S = 30

ROUTES = (
    (r"/health", _handlers.Health),
    (r"/status", _handlers.StatusPage),
    (r"/metrics", _handlers.Metrics),
    (r"/challenge", _handlers.Challenge),
    (r"/configuration", _handlers.Show),
    (r"/configuration/history", _handlers.History),
    (r"/configuration/check", _handlers.Check),
    (r"/configuration/apply", _handlers.Apply),
    (r"/operations", _handlers.Operations),
    (r"/operations/([^/]+)/([^/]+)", _handlers.Operation),
    (r"/operations/([^/]+)/([^/]+)/settle", _handlers.Settle),
)


class OperatorServer:
    """Serves status, metrics, configuration and operations of one daemon.

    Parameters
    ----------
    shared_key : bytes
        Shared key of the daemons. Requests that make changes are authenticated with a
        key derived from it.
    status : StatusProvider
    configuration : ConfigurationService
    operations : OperationsService
    counters : Counters
    """

    def __init__(self, shared_key, status, configuration, operations, counters):
        self.status = status
        self.configuration = configuration
        self.operations = operations
        self.counters = counters
        self.challenges = Challenges(operator_key(shared_key))
        self.http = None
        self.port = None

    async def start(self, address):
        """Listen on ``"ip:port"``.

        Port 0 selects a free port. The attribute ``port`` has the actual port.
        """
        context = {"context": self}
        application = Application(
            [(path, handler, context) for path, handler in ROUTES],
            default_handler_class=_handlers.Missing,
            default_handler_args=context,
            log_function=lambda _handler: None,
        )
        self.http = HTTPServer(
            application,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=2 * MAX_BODY_BYTES,
        )
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        self.port = sockets[0].getsockname()[1]
        self.http.add_sockets(sockets)

    async def stop(self):
        """Stop listening and close all connections."""
        if self.http is not None:
            self.http.stop()
            await self.http.close_all_connections()
