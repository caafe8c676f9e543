"""The commands. Their docstrings are the texts of ``--help``."""

from fire.decorators import SetParseFn

from goldcresthoist.cli import _configuration, _operations, _status
from goldcresthoist.cli._invocation import Invocation


class ConfigCommands:
    """Check, apply and show the configuration of a team.

    Usage: goldcresthoist config COMMAND ...

    Commands:
      check    check a questionnaire and show what it would change
      apply    put a questionnaire in force in every failure domain
      show     show the configuration in force
      history  list the versions of a team's configuration

    Run 'goldcresthoist config COMMAND --help' for the flags of a command.
    """

    @SetParseFn(str)
    def check(self, file, *, settings=None, address=None):
        """Check a questionnaire without changing anything.

        Usage: goldcresthoist config check FILE [--settings FILE] [--address IP:PORT]

        With --settings or --address, a daemon is asked what would change.

        Arguments:
          FILE                questionnaire of a team, YAML
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
        """
        return Invocation(_configuration.check, file, settings, address)

    @SetParseFn(str)
    def apply(self, file, *, settings=None, address=None, author=None, base=None):
        """Put a questionnaire in force in every failure domain.

        Usage: goldcresthoist config apply FILE [--settings FILE] [--address IP:PORT]
                                           [--author NAME] [--base VERSION]

        Shows what changes, then how many daemons of each failure domain have the new
        version in force. Changes nothing when another operator changed the
        configuration after the base version.

        Arguments:
          FILE                questionnaire of a team, YAML
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
          --author NAME       name for the history; default the user's name
          --base VERSION      version that the questionnaire was edited from; needed
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
          --address IP:PORT   operator address of the daemon to ask
        """
        return Invocation(_configuration.show, team, settings, address)

    @SetParseFn(str)
    def history(self, team, *, settings=None, address=None):
        """List the versions of a team's configuration, newest first.

        Usage: goldcresthoist config history TEAM [--settings FILE] [--address IP:PORT]

        Arguments:
          TEAM                name of the team
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
        """
        return Invocation(_configuration.history, team, settings, address)


class OperationsCommands:
    """Show and settle at-most-once operations and uploads.

    Usage: goldcresthoist operations COMMAND ...

    Commands:
      list    list operations whose result is not known
      show    show one operation
      settle  record whether an unknown operation ran

    Run 'goldcresthoist operations COMMAND --help' for the flags of a command.
    """

    @SetParseFn(str)
    def list(self, *, service=None, settings=None, address=None):
        """List operations whose result is not known.

        Usage: goldcresthoist operations list [--service NAME] [--settings FILE]
                                              [--address IP:PORT]

        Arguments:
          --service NAME      only operations of this service
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
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
          --address IP:PORT   operator address of the daemon to ask
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
        """Record whether an unknown operation ran.

        Usage: goldcresthoist operations settle SERVICE KEY OUTCOME [--status N]
                   [--body TEXT] [--settings FILE] [--address IP:PORT] [--author NAME]

        Look at the service's own data first: after 'not-run' the caller may run the
        work again under a new key.

        Arguments:
          SERVICE             name of the service
          KEY                 idempotency key of the operation
          OUTCOME             'ran' or 'not-run'
          --status N          HTTP status that repeats are answered with; default 200
          --body TEXT         body that repeats are answered with; default empty
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
          --author NAME       name for the log; default the user's name
        """
        answer = _operations.Answer(outcome, status, body)
        return Invocation(
            _operations.settle, service, key, answer, settings, address, author
        )


class Commands:
    """Load balancer for servers whose load shifts in milliseconds.

    Usage: goldcresthoist COMMAND ...

    Commands:
      daemon      run the daemon beside one upstream
      node        run the daemon on the users' platform
      config      check, apply and show the configuration of a team
      status      show the state of a daemon
      operations  show and settle at-most-once operations and uploads

    Run 'goldcresthoist COMMAND --help' for the flags of a command.
    Exit status: 0 success, 1 failure, 2 settings, questionnaire or usage not valid.
    """

    def __init__(self):
        self.config = ConfigCommands()
        self.operations = OperationsCommands()

    @SetParseFn(str)
    def daemon(self, settings):
        """Run the daemon beside one upstream, until SIGTERM.

        Usage: goldcresthoist daemon SETTINGS

        SIGTERM drains: new work is refused, running calls complete, then the process
        exits with status 0.

        Arguments:
          SETTINGS            settings of the daemon, YAML
        """
        return Invocation(_status.run_daemon, settings)

    @SetParseFn(str)
    def node(self):
        """Run the daemon on the users' platform, until SIGTERM.

        Usage: goldcresthoist node

        Its settings are in the file that GOLDCRESTHOIST_NODE_FILE names. Settings that
        are not valid end it with status 2 and one line.
        """
        return Invocation(_status.run_node)

    @SetParseFn(str)
    def status(self, *, settings=None, address=None, json="False"):
        """Show the state of a daemon.

        Usage: goldcresthoist status [--settings FILE] [--address IP:PORT] [--json]

        Arguments:
          --settings FILE     settings of a daemon; default $GOLDCRESTHOIST_SETTINGS
          --address IP:PORT   operator address of the daemon to ask
          --json              print JSON instead of text
        """
        return Invocation(_status.show_status, settings, address, json)
