"""``citronwood standin-member``: a small database member for demos and tests."""

from tempfile import mkdtemp

from aiomisc import entrypoint
from cleo.commands.command import Command
from cleo.helpers import option

from citronwood.standin.group import Member, MemberOptions
from citronwood.standin.member import MemberService
from citronwood.standin.replication import ReplicationService
from citronwood.standin.store import Store


class StandinMemberCommand(Command):
    """Run a stand-in for a database member."""

    name = "standin-member"
    description = "Run a small stand-in for a database member."
    options = [
        option(
            "host", None, "IP address to listen on", flag=False, default="127.0.0.1"
        ),
        option("port", None, "TCP port to listen on", flag=False, default="3306"),
        option("name", None, "name of the member", flag=False),
        option(
            "failure-domain",
            None,
            "failure domain of the member",
            flag=False,
            default="",
        ),
        option("user", None, "user that may log in", flag=False, default="proxy"),
        option("password", None, "password of this user", flag=False, default="proxy"),
        option(
            "data-dir",
            None,
            "folder for the data; default: a temporary one",
            flag=False,
        ),
        option("primary", None, "start a member without data as primary (the default)"),
        option("follow", None, "HOST:PORT of the primary to follow", flag=False),
        option(
            "apply-lag-ms",
            None,
            "delay before applying replicated changes",
            flag=False,
            default="0",
        ),
        option(
            "max-connections",
            None,
            "maximum number of connections",
            flag=False,
            default="150",
        ),
        option(
            "connect-delay-ms", None, "delay of each login", flag=False, default="0"
        ),
        option(
            "record-bytes", None, "file for all bytes that clients send", flag=False
        ),
    ]

    def handle(self) -> int:
        """Run until a signal arrives."""
        member = Member(self._member_options(), self._open_store())
        services = [
            MemberService(member, self.option("record-bytes")),
            ReplicationService(member),
        ]
        with entrypoint(*services) as loop:
            loop.run_forever()
        return 0

    def _member_options(self) -> MemberOptions:
        port = int(self.option("port"))
        return MemberOptions(
            name=self.option("name") or f"member-{port}",
            host=self.option("host"),
            port=port,
            user=self.option("user"),
            password=self.option("password"),
            failure_domain=self.option("failure-domain"),
            max_connections=int(self.option("max-connections")),
            apply_lag_ms=int(self.option("apply-lag-ms")),
            connect_delay_ms=int(self.option("connect-delay-ms")),
        )

    def _open_store(self) -> Store:
        store = Store(self.option("data-dir") or mkdtemp(prefix="citronwood-member-"))
        if not store.is_new:
            store.demote_after_restart()
        elif self.option("follow"):
            store.bootstrap_replica(self.option("follow"))
        else:
            store.bootstrap_primary()
        return store
