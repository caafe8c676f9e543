"""Commands of the command line. Their docstrings are the texts of ``--help``."""

from fire.decorators import SetParseFn

from goldcresthoist.cli import _configuration, _operations, _status
from goldcresthoist.cli._invocation import Invocation


class ConfigCommands:
    """Check, apply and show the configuration of a team.

    Usage: goldcresthoist config COMMAND ...

    Commands:
      check    check a questionnaire and show what it would change
      apply    apply a questionnaire in every failure domain
      show     show the configuration in force
      history  list the versions of a team's configuration

    Run 'goldcresthoist config COMMAND --help' for the flags of a command.
    """

    @SetParseFn(str)
    def check(self, file, *, settings=None, address=None, in_force=None):
        """Check a configuration without changing anything.

        Usage: goldcresthoist config check FILE [--settings FILE] [--address IP:PORT]
               goldcresthoist config check FILE.json [--in-force FILE]

        For a questionnaire, --settings or --address also shows the differences to the
        current configuration of the team, as reported by a daemon. For a configuration
        of the users' platform, it names the place of each finding; with --in-force, it
        also shows the differences. Exit status: 0, 1 for findings, 2 if not valid.

        Arguments:
          FILE                questionnaire of a team, YAML; or a configuration of the
                              users' platform, with a name that ends with .json
          --in-force FILE     configuration of the users' platform that is in force
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
        """
        return Invocation(_configuration.check, file, settings, address, in_force)

    @SetParseFn(str)
    def apply(self, file, *, settings=None, address=None, author=None, base=None):
        """Apply a questionnaire in every failure domain.

        Usage: goldcresthoist config apply FILE [--settings FILE] [--address IP:PORT]
                                           [--author NAME] [--base VERSION]

        Shows the differences to the current configuration, then how many daemons of
        each failure domain have the new version in force. Changes nothing if another
        operator has changed the configuration since the base version.

        Arguments:
          FILE                questionnaire of a team, YAML
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
          --author NAME       name in the history; default the current user's name
          --base VERSION      version that the questionnaire was edited from; required
                              unless the team has no configuration yet
        """
        return Invocation(_configuration.apply, file, settings, address, author, base)

    @SetParseFn(str)
    def show(self, team, *, settings=None, address=None):
        """Show the configuration of a team that is in force.

        Usage: goldcresthoist config show TEAM [--settings FILE] [--address IP:PORT]

        Arguments:
          TEAM                name of the team
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
        """
        return Invocation(_configuration.show, team, settings, address)

    @SetParseFn(str)
    def history(self, team, *, settings=None, address=None):
        """List the versions of a team's configuration, newest first.

        Usage: goldcresthoist config history TEAM [--settings FILE] [--address IP:PORT]

        Arguments:
          TEAM                name of the team
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
        """
        return Invocation(_configuration.history, team, settings, address)


class OperationsCommands:
    """Show and settle at-most-once operations and uploads.

    Usage: goldcresthoist operations COMMAND ...

    Commands:
      list    list operations whose outcome is unknown
      show    show one operation
      settle  record whether an operation with unknown outcome ran

    Run 'goldcresthoist operations COMMAND --help' for the flags of a command.
    """

    @SetParseFn(str)
    def list(self, *, service=None, settings=None, address=None):
        """List operations whose outcome is unknown.

        Usage: goldcresthoist operations list [--service NAME] [--settings FILE]
                                              [--address IP:PORT]

        Arguments:
          --service NAME      only operations of this service
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
        """
        return Invocation(_operations.list_unknown, service, settings, address)

    @SetParseFn(str)
    def show(self, service, key, *, settings=None, address=None):
        """Show one operation.

        Usage: goldcresthoist operations show SERVICE KEY [--settings FILE]
                                              [--address IP:PORT]

        Arguments:
          SERVICE             name of the service
          KEY                 idempotency key of the operation
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
        """
        return Invocation(_operations.show, service, key, settings, address)

    @SetParseFn(str)
    def settle(
        self,
        service,
        key,
        outcome,
        *,
        status="200",
        body="",
        settings=None,
        address=None,
        author=None,
    ):
        """Record whether an operation with unknown outcome ran.

        Usage: goldcresthoist operations settle SERVICE KEY OUTCOME [--status N]
                   [--body TEXT] [--settings FILE] [--address IP:PORT] [--author NAME]

        Check the service's own data first: after 'not-run' the caller may repeat the
        operation under a new key.

        Arguments:
          SERVICE             name of the service
          KEY                 idempotency key of the operation
          OUTCOME             'ran' or 'not-run'
          --status N          HTTP status of responses to repeated requests; default 200
          --body TEXT         body of responses to repeated requests; default empty
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon
          --author NAME       name in the log; default the current user's name
        """
        answer = _operations.Answer(outcome, status, body)
        return Invocation(
            _operations.settle, service, key, answer, settings, address, author
        )


class Commands:
    """Load balancer for servers whose load changes within milliseconds.

    Usage: goldcresthoist COMMAND ...

    Commands:
      daemon      run the daemon beside one upstream
      node        run the daemon on the users' platform
      config      check, apply and show the configuration of a team
      status      show the state of a daemon
      operations  show and settle at-most-once operations and uploads

    Run 'goldcresthoist COMMAND --help' for the flags of a command.
    Exit status: 0 success, 1 failure, 2 invalid settings, questionnaire or usage.
    """

    def __init__(self):
        self.config = ConfigCommands()
        self.operations = OperationsCommands()

    @SetParseFn(str)
    def daemon(self, settings):
        """Run the daemon beside one upstream, until SIGTERM.

        Usage: goldcresthoist daemon SETTINGS

        On SIGTERM the daemon drains: it refuses new calls, completes running ones and
        exits with status 0.

        Arguments:
          SETTINGS            settings of the daemon, YAML
        """
        return Invocation(_status.run_daemon, settings)

    @SetParseFn(str)
    def node(self):
        """Run the daemon on the users' platform, until SIGTERM.

        Usage: goldcresthoist node

        The environment variable GOLDCRESTHOIST_NODE_FILE names the settings file. If
        the settings are invalid, the command prints one line and exits with status 2.
        """
        return Invocation(_status.run_node)

    @SetParseFn(str)
    def status(self, *, settings=None, address=None, json="False"):
        """Show the state of a daemon.

        Usage: goldcresthoist status [--settings FILE] [--address IP:PORT] [--json]

        Arguments:
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon; on the users' platform the
                              address of its metrics
          --json              print JSON instead of text
        """
        return Invocation(_status.show_status, settings, address, json)
