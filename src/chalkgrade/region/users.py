"""Simulated users: they submit, poll and cancel jobs, and check every answer."""

import asyncio
import random
from typing import Any

from chalkgrade.outside import NoAnswer
from chalkgrade.region.rules import Broken, History

POLL_INTERVAL_S = (2.0, 5.0)  # range of the time between two polls of a job
POLL_OVER_INTERVAL_S = (10.0, 40.0)  # the same for a job that ended a while ago
POLL_SLOWER_AFTER_S = 15.0  # after the end of a job


class Users(History):
    """Users whose requests go to any live controller; every answer is checked."""

    PIPELINE_SHARE = 0.0  # default share of jobs that depend on earlier ones

    def spec(self, number: int, **changes: Any) -> dict[str, Any]:
        """A random job submission with this number; `changes` override its fields."""
        rng = self.rng
        kind = rng.random()
        base = {
            "nameId": f"run-{number:06d}",
            "jobclass": "small",
            "owner": rng.choice(["red", "blue"]),
            "shape": "batch",
            "urgency": rng.choice(["high", "standard", "best_effort"]),
            "tasks": rng.randrange(1, 12),
            "vcpus": 1.0,
            "gpus": 0.0,
            "memoryGb": 3.0,
            "bundle": f"img-{rng.randrange(3)}",
            "pullGb": 1.0,
            "hosttypes": None,
            "site": None,
            "oneZone": rng.random() < 0.2,
            "spread": False,
            "standby": rng.random() < 0.7,
            "expectedS": rng.uniform(2, 15),
            "savepointS": 0.0,
            "flushS": 0.0,
            "dueS": rng.choice([None, 40.0]),
        }
        if kind < 0.3:
            base |= {
                "jobclass": "whole",
                "vcpus": 4.0,
                "memoryGb": 12.0,
                "savepointS": 4.0,
                "flushS": 1.0,
                "tasks": rng.randrange(1, 5),
            }
        elif kind < 0.4:
            base |= {"jobclass": "spread", "spread": True, "oneZone": False}
        elif kind < 0.48:
            base |= {"jobclass": "service", "shape": "service", "expectedS": 0.0, "tasks": 2}
        elif kind < 0.50:
            base |= {"jobclass": "gang", "shape": "gang", "tasks": rng.randrange(2, 6)}
        elif kind < 0.53:
            base |= {"jobclass": "doomed"}
        elif kind < 0.6:
            base |= {
                "jobclass": "placed",
                "site": rng.choice(["a", "b"]),
                "hosttypes": [rng.choice(["small", "large"])],
                "standby": True,
            }
        return base | changes

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        # A separate generator, so that pipelines don't change the other draws of a seed.
        self.pipeline_rng = random.Random(args[1])

    async def user(self, spec: dict[str, Any], abort_after: float | None) -> None:
        """Submit a job until it is accepted, then poll it forever.

        If `abort_after` is given, the job is cancelled that many seconds after its acceptance.
        """
        name = spec["nameId"]
        if (
            self.PIPELINE_SHARE
            and "waitsOn" not in spec
            and self.pipeline_rng.random() < self.PIPELINE_SHARE
        ):
            spec["waitsOn"] = self.choose_dependencies(spec)
        self.jobs[name] = {"spec": spec, "aborted": None, "accepted": False, "over": None}
        self.jobs[name] |= {"at": self.now, "replicas": set()}
        job = self.jobs[name]
        while True:
            answer = await self.submit(name)
            if answer is not None and answer[0] in (200, 201):
                break
            await asyncio.sleep(1.0)
        job["accepted"] = True
        self.on_status_change(name)
        if abort_after is not None:
            await asyncio.sleep(abort_after)
            await self.cancel_until_over(name)
        while True:
            answer = await self.query_status(name)
            self.polls += 1
            self.record_poll(name, answer is not None and answer[0] == 200)
            if self.rng.random() < 0.1:
                await self.submit(name)
            # Ended jobs are polled more slowly, since a run has thousands of them.
            rest = (
                POLL_OVER_INTERVAL_S
                if job["over"] and self.now > job["over_at"] + POLL_SLOWER_AFTER_S
                else POLL_INTERVAL_S
            )
            await asyncio.sleep(self.rng.uniform(*rest))

    # All requests about a job go through these three, so that each answer is checked.

    async def submit(
        self, name: str, member: str = "", body: bytes | None = None
    ) -> tuple[int, Any] | None:
        """Submit a job, for the first time or repeatedly; None: no answer.

        `body`: another spelling of the job's submission.
        """
        return await self._checked_request(
            name, "POST", "/v2/runs", body or self.jobs[name]["spec"], member
        )

    async def query_status(self, name: str, member: str = "") -> tuple[int, Any] | None:
        """Request a job's status; None: no answer."""
        return await self._checked_request(name, "GET", f"/v2/runs/{name}", b"", member)

    async def abort(self, name: str, member: str = "") -> tuple[int, Any] | None:
        """Request a job's cancellation; None: no answer."""
        return await self._checked_request(name, "POST", f"/v2/runs/{name}/abort", b"", member)

    async def _checked_request(
        self, name: str, method: str, path: str, body: Any, member: str
    ) -> tuple[int, Any] | None:
        asked = self.now
        member = member or self._choose_controller()
        answer = await self.send_request(method, path, body, member)
        self.check_answer(name, asked, answer, member)
        return answer

    async def cancel_until_over(self, name: str) -> None:
        """Request a job's cancellation every second until a user is told that it is over."""
        job = self.jobs[name]
        while job["over"] is None:
            job["asked"] = True
            await self.abort(name)
            await asyncio.sleep(1.0)

    def on_status_change(self, name: str) -> None:
        """Hook, called when a job is accepted, ends or is reported as over."""

    def choose_dependencies(self, spec: dict[str, Any]) -> list[str]:
        """Random accepted jobs, in any state, for a job to depend on."""
        known = [
            name
            for name, job in self.jobs.items()
            if job["accepted"] and job["spec"]["shape"] != "service"
        ]
        return self.pipeline_rng.sample(
            known, min(len(known), self.pipeline_rng.choice([1, 1, 2, 3]))
        )

    async def query_unknown_jobs(self) -> None:
        """Query jobs that were never submitted, and submit jobs that depend on those."""
        while True:
            name = f"run-{self.rng.randrange(900000, 999999)}"
            if self.PIPELINE_SHARE:
                lost = self.spec(int(name[4:]) + 100000, shape="batch", jobclass="small")
                lost |= {"waitsOn": [name], "owner": "blue", "vcpus": 1.0, "memoryGb": 1.0}
                lost |= {"site": None, "hosttypes": None}
                answer = await self.send_request("POST", "/v2/runs", lost)
                if answer is not None and answer[0] in (200, 201, 400):
                    raise Broken(f"{lost['nameId']} names no job and got {answer}")
            answer = await self.send_request("GET", f"/v2/runs/{name}", b"")
            if answer is not None and answer[0] == 200:
                raise Broken(f"invented: {name}")
            await asyncio.sleep(7.0)

    async def send_request(
        self, method: str, path: str, body: Any, member: str = ""
    ) -> tuple[int, Any] | None:
        """Send a request to `member`, or to a random live controller; None: no answer."""
        member = member or self._choose_controller()
        if not member:
            return None
        try:
            return await self.request("users", member, method, path, body, 5.0)
        except NoAnswer:
            return None

    def _choose_controller(self) -> str:
        """A random live controller; empty if there is none."""
        up = [member for member in self.members if self.up(member)]
        return self.rng.choice(up) if up else ""
