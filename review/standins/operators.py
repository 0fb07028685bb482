"""The operator of the platform."""

import asyncio
import re

import messages

# How long the operator waits for a response to a change, and to a read: longer than the
# replica takes to give up, so that its answer is seen.
CHANGE_PATIENCE_SECONDS = 1.0
READ_PATIENCE_SECONDS = 2.6


class Operator:
    """Changes and reads the manifest."""

    def __init__(self, deployed):
        self.record, self._system = deployed.record, deployed.system
        self.version = 0

    async def change(self, seconds=20.0):
        """Sends a change until it is acknowledged; returns whether it was."""
        manifest = messages.create_manifest(
            self.version + 1, self.version, (("specs", "safe", "specs", 1.2),)
        )
        answer = await self._call(
            "config.put", manifest, seconds, CHANGE_PATIENCE_SECONDS
        )
        if answer is None:
            return False
        self.version += 1
        self.record.write(f"r{self.version} acknowledged")
        return True

    async def read(self, seconds):
        """Reads the manifest until it comes; returns its version or None."""
        answer = await self._call("config.get", {}, seconds)
        return answer and re.search(rb'"version": *"r(\d+)"', answer.body)[1].decode()

    async def _call(self, call, content, seconds, patience=READ_PATIENCE_SECONDS):
        ends_at = self.record.now + seconds
        attempt = 0
        while self.record.now < ends_at:
            hosts = [host for host in self._system.replicas if host.is_running()]
            host = hosts[attempt % len(hosts)]
            attempt += 1
            answer = await messages.post_control(host, call, content, patience)
            text = getattr(answer, "start", answer)
            self.record.write(f"{call} at {host.name}: {text}")
            if isinstance(answer, messages.Message) and answer.status == 200:
                return answer
            await asyncio.sleep(0.3)
        return None

    async def check_read_back(self, seconds):
        """Reads the manifest back; returns what is broken, one line each."""
        version = await self.read(seconds)
        self.record.write(f"acknowledged r{self.version}, read back: {version}")
        if version is None:
            return [
                f"CONFIG: r{self.version} was acknowledged and doesn't come when it is "
                f"read back for {seconds:g} s"
            ]
        if int(version) < self.version:
            return [f"CONFIG: r{self.version} was acknowledged, r{version} comes"]
        return []
