"""Users that cancel at critical moments, query all controllers at once or send bad requests."""

import asyncio
import json
import random
from typing import Any

from chalkgrade.region.rules import Broken
from chalkgrade.region.users import Users

CANCEL_WITHIN_S = 0.2  # time within which users cancel several jobs together
MIN_REMAINING_S = 5.0  # least remaining work of a task in a job that is chosen
MAX_HANGING_MACHINES = 8  # that hang while their jobs are cancelled
CANCEL_AFTER_END_S = 0.05  # latest cancellation after a job's last task ended
CLOSE_CHECK_S = 0.02  # time within which all controllers are queried
QUERIES_PER_CONTROLLER = 3  # after one event
CLOSE_CANCEL_SHARE = 0.1  # share of close checks in which the user also cancels
REPEAT_INTERVAL_S = 0.5  # between repeated submissions while the leader changes
REPEATED_JOBS = 2  # jobs that are submitted again at once
AFTER_LEADER_CHANGE_S = 5.0  # for which submissions are repeated
ODD_REQUEST_INTERVAL_S = 0.3  # mean time between two odd requests
INVALID_JOB_NUMBER = 700_000  # base of the numbers of invalid jobs
# Fields that a submission must have; the others may be null, so they may be left out.
REQUIRED_FIELDS = (
    "nameId", "jobclass", "owner", "shape", "urgency", "tasks", "vcpus", "gpus", "memoryGb",
    "bundle", "pullGb", "oneZone", "spread", "standby", "expectedS", "savepointS", "flushS",
)  # fmt: skip


RESOURCE_FIELDS = ("vcpus", "gpus", "memoryGb")


def respell(spec: dict[str, Any], rng: random.Random) -> bytes:
    """The same submission with its fields in another order, unknown fields and white space."""
    known = list(spec.items())
    unknown = [("old_nameId", "run-558702"), ("städte", {"nameId": "run-558703", "tasks": -1})]
    fields = known + unknown
    rng.shuffle(fields)
    pairs = [json.dumps(key) + " :\n" + json.dumps(value) for key, value in fields]
    return ("\t{ " + " ,\r\n".join(pairs) + " } ").encode()


class AdversarialUsers(Users):
    """User behaviour that faults of a day switch on; every answer is checked as usual."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        # Until when jobs are cancelled as they end, and which share of them.
        self.cancelling_at_end = (0.0, 0.0)
        self.odd_requests_until = self.close_checks_until = 0.0
        self.repeats_until = 0.0  # submissions are repeated while the leader changes
        self.repeated_submissions = 0
        # A separate generator, so that the other draws of a seed stay as they are.
        self.repeat_rng = random.Random(args[1])
        self.invalid_submissions = 0  # number of invalid submissions so far
        self.invalid_refusals: dict[str, int] = {}  # refused submissions by their defect
        self.trouble_cancellations = 0  # cancellations started by users of this class
        self.close_checks = 0  # events after which all controllers were queried
        self.close_check_cancellations = 0  # cancellations during such checks

    def leaders(self) -> list[str]:
        """Controllers that consider themselves the leader."""
        raise NotImplementedError

    # -- cancellations at critical moments -------------------------------------------

    def max_remaining_s(self, name: str) -> float:
        """The longest remaining work of a job's running tasks in seconds; services: infinite."""
        return max((self._remaining_s(task) for _, task in self.present_of_job(name)), default=0.0)

    def _remaining_s(self, task: Any) -> float:
        if task.status != "running":
            return 0.0
        if task.spec["shape"] == "service":
            return float("inf")
        return float(self.task_run_s[task.name] - task.saved_work_s - (self.now - task.began))

    def cancel_running_jobs(self, count: int, hang_s: float) -> None:
        """Cancel up to `count` running jobs with much work left.

        If `hang_s` is not 0, some of their machines hang for that many seconds.
        """
        jobs = [
            name
            for name, job in self.jobs.items()
            if job["accepted"] and job["over"] is None and not job.get("asked")
        ]
        long = [name for name in jobs if self.max_remaining_s(name) >= MIN_REMAINING_S]
        chosen = self.rng.sample(long, min(count, len(long)))
        if hang_s:
            hosts = sorted({host.name for name in chosen for host, _ in self.present_of_job(name)})
            for host in self.rng.sample(hosts, min(MAX_HANGING_MACHINES, len(hosts))):
                until = max(self.now + hang_s, self.loop.frozen.get(host, 0.0))
                self.loop.freeze(host, until)
        for name in chosen:
            self.spawn(self._cancel_after(name, self.rng.uniform(0.0, CANCEL_WITHIN_S)))

    async def _cancel_after(self, name: str, after: float) -> None:
        self.trouble_cancellations += 1
        await asyncio.sleep(after)
        await self.cancel_until_over(name)

    def on_job_completed(self, name: str) -> None:
        """Cancel some jobs just as they end, and check the job closely."""
        super().on_job_completed(name)
        until, share = self.cancelling_at_end
        job = self.jobs[name]
        if (
            self.now < until
            and job["accepted"]
            and not job.get("asked")
            and self.rng.random() < share
        ):
            self.spawn(self._cancel_after(name, self.rng.uniform(0.0, CANCEL_AFTER_END_S)))
        self.on_status_change(name)

    def record_status(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        """Check the status as usual; check the job closely when it is first over."""
        before = self.jobs[name]["over"]
        super().record_status(name, answer, asked)
        if before is None and self.jobs[name]["over"] is not None:
            self.on_status_change(name)

    # -- close checks -----------------------------------------------------------------

    def on_status_change(self, name: str) -> None:
        """Query all controllers within milliseconds and resubmit the job; some users cancel it."""
        if self.now >= self.close_checks_until:
            return
        self.close_checks += 1
        for member in self.members:
            self.spawn(self._query_closely(name, member))
        self.spawn(self._resubmit(name))
        job = self.jobs[name]
        if job["over"] is None and not job.get("asked") and self.rng.random() < CLOSE_CANCEL_SHARE:
            self.close_check_cancellations += 1
            self.spawn(self._cancel_after(name, self.rng.uniform(0.0, CLOSE_CHECK_S)))

    async def _query_closely(self, name: str, member: str) -> None:
        for _ in range(QUERIES_PER_CONTROLLER):
            await asyncio.sleep(self.rng.uniform(0.0, CLOSE_CHECK_S))
            if not self.up(member):
                return
            await self.query_status(name, member)

    async def _resubmit(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, CLOSE_CHECK_S))
        await self.submit(name)

    # -- repeated submissions ---------------------------------------------------------

    async def repeat_submissions(self) -> None:
        """Submit unfinished jobs again at all controllers while the leader changes.

        Each time in another spelling; until the set time.
        """
        leaders, changed_at = self.leaders(), 0.0
        while self.now < self.repeats_until:
            await asyncio.sleep(self.repeat_rng.uniform(0.0, 2 * REPEAT_INTERVAL_S))
            if self.leaders() != leaders:
                leaders, changed_at = self.leaders(), self.now
            if leaders and self.now > changed_at + AFTER_LEADER_CHANGE_S:
                continue
            unfinished = self._unfinished_jobs()
            count = min(REPEATED_JOBS, len(unfinished))
            for name in self.repeat_rng.sample(unfinished, count):
                for member in self.members:
                    self.spawn(self._repeat_submission(name, member))

    def _unfinished_jobs(self) -> list[str]:
        """The accepted jobs that are not known to be over."""
        return [name for name, job in self.jobs.items() if job["accepted"] and job["over"] is None]

    async def _repeat_submission(self, name: str, member: str) -> None:
        if self.up(member):
            self.repeated_submissions += 1
            body = respell(self.jobs[name]["spec"], self.repeat_rng)
            await self.submit(name, member, body)

    # -- odd requests -----------------------------------------------------------------

    async def send_odd_requests(self) -> None:
        """Resubmit open jobs, cancel ended ones and send invalid ones, until the set time."""
        while self.now < self.odd_requests_until:
            await asyncio.sleep(self.rng.uniform(0.0, 2 * ODD_REQUEST_INTERVAL_S))
            request_kind = self.rng.randrange(3)
            if request_kind == 0:
                unfinished = self._unfinished_jobs()
                if unfinished:
                    await self._resubmit(self.rng.choice(unfinished))
            elif request_kind == 1:
                over = [n for n, job in self.jobs.items() if job["over"] == "done"]
                if over:
                    await self.abort(self.rng.choice(over))
            else:
                await self._submit_invalid()

    def _invalid_submission(self, number: int) -> tuple[str, dict[str, Any]]:
        """The name of a defect and an invalid submission that has it."""
        name = f"run-{number}"
        existing = [job["spec"] for job in self.jobs.values()]
        good = dict(self.rng.choice(existing)) if existing else self.spec(number)
        good |= {"nameId": name}
        good.pop("waitsOn", None)
        largest = {key: max(flavor[key] for flavor in self.FLAVORS) for key in RESOURCE_FIELDS}
        odd: list[tuple[str, dict[str, Any]]] = [
            (key, good | {key: 2.0 * most + 1.0}) for key, most in largest.items()
        ]
        odd.append(("hosttypes", good | {"hosttypes": ["no-such-type"]}))
        odd.append(("owner", good | {"owner": "nobody"}))
        bounded = [team for team in self._teams.values() if team.cpus_max]
        if bounded:
            team = self.rng.choice(bounded)
            flood = int(team.cpus_max) + 1
            wide = {"vcpus": 1.0, "tasks": flood, "shape": "service", "expectedS": 0.0}
            odd.append(("limit", good | {"owner": team.name} | wide))
        # Odd numbers leave out one required field after the other; even ones have other defects.
        at = number - INVALID_JOB_NUMBER
        if at % 2:
            field = REQUIRED_FIELDS[at // 2 % len(REQUIRED_FIELDS)]
            return f"no {field}", {key: value for key, value in good.items() if key != field}
        return odd[at // 2 % len(odd)]

    async def _submit_invalid(self) -> None:
        self.invalid_submissions += 1
        defect, spec = self._invalid_submission(INVALID_JOB_NUMBER + self.invalid_submissions)
        answer = await self.send_request("POST", "/v2/runs", spec)
        if answer is None:
            return
        if answer[0] in (200, 201):
            raise Broken(f"accepted_bad: {defect} in {spec}")
        if answer[0] in (400, 422):
            self.invalid_refusals[defect] = self.invalid_refusals.get(defect, 0) + 1
            found = await self.send_request(
                "GET", f"/v2/runs/{spec.get('nameId', 'run-799999')}", b""
            )
            if found is not None and found[0] == 200:
                raise Broken(f"accepted_bad: {defect} was refused and is there, {spec}")
