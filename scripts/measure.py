#!/usr/bin/env python3
"""Compares the policies "none", "fixed" and "chosen" on a fleet of real processes on 127.0.0.0/8.

Each run starts a fleet, sends load in phases with damaskledge-load and disturbs the fleet in some
of the phases. After every run the script writes measurements/<deployment>.json, two SVG plots and
the tables of measurements.md below --output, which is docs/ by default. scripts/build.sh must have
run before.

scripts/measure.py --idle 20 measures the traffic and the processor time of an idle fleet instead.
"""

import argparse
import concurrent.futures
import datetime
import html
import json
import math
import os
import pathlib
import platform as machine_platform
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
POLICIES = ("none", "fixed", "chosen")
COLOURS = {"none": "#b0413e", "fixed": "#d08c1d", "chosen": "#1f6f8b"}

# Slots of the deployments in docs/design.md section 1.3 are divided by this.
SLOT_SCALE = 5
# Room for the limits and pools to settle after the start, and for the last phase's recovery.
LEAD_S = 4
# Lengths of the phases and of the usual demand after each of them. A recovery is seen when it
# takes at most REST_S less one second.
PHASE_S = {"base": 6, "surge": 6, "combined": 6}
OTHER_PHASE_S = 5
REST_S = 4
# Answers count for a phase from this time after its start to the same time after its end, because
# service takes about as long.
ANSWER_SHIFT_S = 0.2

# Targets of the policy "chosen".
LEAST_GOODPUT_PART = 0.95
LONGEST_RECOVERY_S = 2.0
LEAST_SERVED = 0.95
REFUSED_PER_THOUSAND = 1.0

DEPLOYMENTS = {
    "moquegua": {
        "subnet": 40,
        "service_time_ms": 100,
        # name: targets, slots as stated, connections, inner calls
        "services": {
            "plots": (4, 110, 750, []),
            "harvest": (4, 110, 750, []),
            "dispatch": (3, 110, 770, ["gate:POST:/gate/open"]),
            "gate": (3, 45, 380, []),
        },
        "most_used": "plots",
        "deep": "gate",
        "greedy": "ilo-growers",
        # Routes that run at most once and so need the platform.
        "once": ["confirm-dispatch"],
    },
    "archive": {
        "subnet": 41,
        "service_time_ms": 60,
        "services": {
            "melodies": (3, 60, 450, []),
            "deposits": (3, 60, 450, []),
            "lyrics": (3, 60, 450, []),
            "search": (3, 15, 190, ["melodies:GET:/melodies/browse"]),
        },
        "most_used": "melodies",
        "deep": "melodies",
        "greedy": "north-archive",
        "once": ["deposit"],
    },
}

# Phases in their order: name, title. What each does is in make_scenario and run_faults.
PHASES = {
    "base": "usual demand",
    "surge": "surge to 3 times the capacity of the most used service",
    "slow": "deep service slowed to a quarter",
    "greedy": "one account at 5 times its rate",
    "storm": "1.5 times capacity, all callers retry at once, 5 attempts",
    "cut": "one data centre cut off",
    "lost": "one VM lost",
    "combined": "surge and deep service slowed",
}
SLOWDOWN = 4

# No request of the load is refused for these reasons, unless another fleet on the same addresses
# has written its own lists to the platform stand-in.
FOREIGN_REASONS = {"account-unknown", "route-unknown", "key-unknown", "route-not-in-plan"}


def read_json(path):
    """Reads JSON with // and /* */ comments."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    pattern = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
    return json.loads(pattern.sub(lambda it: it[0] if it[0][0] == '"' else " ", text))


def http(address, method="GET", target="/", body=None, timeout=3.0):
    """Returns the text of the answer; raises OSError when there is none."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{target}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def http_json(address, method="GET", target="/", body=None):
    """Returns the JSON of the answer, or None when there is no answer."""
    try:
        return json.loads(http(address, method, target, body))
    except (OSError, ValueError):
        return None


class Vm:
    """One node and one upstream."""

    def __init__(self, name, data_centre, address, service):
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.service = service
        self.node = None
        self.upstream = None
        self.starts = 0

    def port(self, number):
        return f"{self.address}:{number}"


class Fleet:
    """All processes of one run. Every process is ended by its id in stop()."""

    def __init__(self, deployment, policy, folder):
        self.deployment = deployment
        self.plan = DEPLOYMENTS[deployment]
        self.policy = policy
        self.folder = pathlib.Path(folder)
        self.subnet = self.plan["subnet"]
        self.platform = f"127.{self.subnet}.250.1:8500"
        self.data_centres = [f"{deployment}-{n}" for n in (1, 2, 3)]
        self.processes = []
        self.vms = []
        self.executor = concurrent.futures.ThreadPoolExecutor(16)
        template = read_json(ROOT / "examples" / deployment / "node.json")
        self.settings = {
            "platform": [self.platform],
            "data_centres": self.data_centres,
            "seeds": [f"127.{self.subnet}.{n}.1:8082" for n in (1, 2, 3)],
            "cluster_secret": os.urandom(24).hex(),
            "policy": policy,
            "objective": template["objective"],
            "max_connections": template["max_connections"],
            "fixed_limit": fixed_limit(deployment),
        }
        dealt = 0
        hosts = {}
        for service, (targets, _, _, _) in self.plan["services"].items():
            for _ in range(targets):
                number = dealt % len(self.data_centres)
                dealt += 1
                hosts[number] = hosts.get(number, 0) + 1
                data_centre = self.data_centres[number]
                self.vms.append(Vm(f"{data_centre}-vm{hosts[number]}", data_centre,
                                   f"127.{self.subnet}.{number + 1}.{hosts[number]}", service))

    def spawn(self, log, program, *arguments):
        with open(self.folder / log, "ab") as out:
            process = subprocess.Popen([BIN / program, *arguments], stdout=out,
                                       stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                       env={**os.environ, "GLOG_minloglevel": "1"})
        self.processes.append(process)
        return process

    def stop(self):
        # Nothing of a fleet is kept, so there is no need to wait for a graceful end.
        for it in self.processes:
            it.kill()
        for it in self.processes:
            it.wait()
        self.executor.shutdown()

    def control(self, *arguments):
        done = subprocess.run([BIN / "damaskledgectl", *arguments, f"--platform={self.platform}"],
                              capture_output=True, text=True, timeout=60, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"damaskledgectl {arguments[0]} failed: {done.stderr.strip()}")
        return done.stdout

    def cut_file(self, data_centre):
        return self.folder / f"cut-{data_centre}"

    def write_cut(self, data_centre, lines):
        part = self.folder / f"cut-{data_centre}.part"
        part.write_text("".join(f"{it}\n" for it in lines), encoding="utf-8")
        part.rename(self.cut_file(data_centre))

    def cut(self, lost):
        """Cuts one data centre off from the others and from the platform."""
        for it in self.data_centres:
            lines = [f"127.{self.subnet}.{n + 1}." for n, other in enumerate(self.data_centres)
                     if (it == lost) != (other == lost)]
            self.write_cut(it, lines + ([self.platform] if it == lost else []))

    def heal(self):
        for it in self.data_centres:
            self.write_cut(it, [])

    def start_node(self, vm):
        settings = {**self.settings, "name": vm.name, "data_centre": vm.data_centre,
                    "address": vm.address, "test_cut_file": str(self.cut_file(vm.data_centre))}
        file = self.folder / f"{vm.name}.json"
        file.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        vm.node = self.spawn(f"{vm.name}.log", "damaskledge-node", f"--settings={file}")

    def start_upstream(self, vm):
        vm.starts += 1
        _, slots, connections, inner = self.plan["services"][vm.service]
        vm.upstream = self.spawn(
            f"{vm.name}-upstream.log", "upstream_stand_in", f"--service={vm.service}",
            f"--listen={vm.port(9000)}", f"--node={vm.port(8081)}",
            f"--slots={slots // SLOT_SCALE}", f"--connections={connections}",
            f"--service_time_ms={self.plan['service_time_ms']}", f"--inner={','.join(inner)}",
            f"--seed={1 + self.vms.index(vm)}",
            f"--log={self.folder}/{vm.name}-executions-{vm.starts}")

    def wait_until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"no {what} after {limit_s} s; the logs are in {self.folder}")
            for it in self.processes:
                if it.poll() not in (None, 0, -signal.SIGTERM, -signal.SIGKILL):
                    raise RuntimeError(f"{pathlib.Path(it.args[0]).name} ended with status "
                                       f"{it.returncode}; the logs are in {self.folder}")
            time.sleep(0.2)

    def start(self):
        """Starts all processes and waits until each node knows all others."""
        if http_json(self.platform, target="/control") is not None:
            raise RuntimeError(f"{self.platform} is in use by another fleet; give another --subnet")
        self.spawn("platform.log", "platform_stand_in", f"--listen={self.platform}")
        self.wait_until(lambda: http_json(self.platform, target="/control") is not None, 20,
                        "answer of the platform stand-in")
        example = ROOT / "examples" / self.deployment
        self.control("apply", f"--accounts={example}/accounts.json", f"--plans={example}/plans.json")
        keys = {}
        for it in read_json(example / "accounts.json")["accounts"]:
            given = json.loads(self.control("keys", "give", f"--account={it['name']}",
                                            "--output=json"))
            keys[it["name"]] = given["key"]
        keys_file = self.folder / "keys.json"
        keys_file.touch(mode=0o600)
        keys_file.write_text(json.dumps(keys), encoding="utf-8")
        self.heal()
        for vm in self.vms:
            self.start_node(vm)
            self.start_upstream(vm)
        self.wait_until(self.settled, 60, "settled fleet")

    def settled(self):
        def knows_all(vm):
            status = http_json(vm.port(8083), target="/status")
            targets = http_json(vm.port(8083), target="/targets")
            if not status or targets is None:
                return False
            up = sum(it["state"] == "up" for it in status["members"])
            return (up == len(self.vms) and len(targets) == len(self.vms)
                    and status["documents"].get("lists", 0) >= 1
                    and status["documents"].get("keys", 0) >= 1
                    and len(status["coordinators"]) == len(self.data_centres))
        return all(self.executor.map(knows_all, self.vms))

    def set_slowdown(self, service, factor):
        vms = [it for it in self.vms if it.service == service]
        answers = self.executor.map(
            lambda vm: http_json(vm.port(9000), "POST", "/control", {"slowdown": factor}), vms)
        if None in list(answers):
            raise RuntimeError(f"an upstream of {service} did not take its slowdown")

    def executed(self):
        """Returns requests that got a slot, by VM; a VM without an answer is left out."""
        def count(vm):
            answer = http_json(vm.port(9000), target="/control")
            return None if answer is None else find_member(answer, "executed")
        counts = list(self.executor.map(count, self.vms))
        return {vm.name: n for vm, n in zip(self.vms, counts) if n is not None}

    def metrics(self, vm):
        """Returns the sums of the metrics of one node by their names without labels."""
        result = {}
        for line in http(vm.port(8083), target="/metrics").splitlines():
            found = re.match(r"([a-zA-Z_:]+)(?:\{.*\})? (\S+)$", line)
            if found:
                result[found[1]] = result.get(found[1], 0.0) + float(found[2])
        return result


def find_member(value, name):
    """Returns the member of that name at any depth of a JSON object, or None."""
    if isinstance(value, dict):
        if name in value:
            return value[name]
        for it in value.values():
            found = find_member(it, name)
            if found is not None:
                return found
    return None


def vm_count(deployment):
    return sum(it[0] for it in DEPLOYMENTS[deployment]["services"].values())


def fixed_limit(deployment):
    """Limit per node and target of the policy "fixed": all nodes together may fill the slots of
    a target of the most used service one and a half times. An operator who tunes a fixed limit
    leaves such room, because demand is not even over the nodes."""
    plan = DEPLOYMENTS[deployment]
    slots = plan["services"][plan["most_used"]][1] // SLOT_SCALE
    return math.ceil(1.5 * slots / vm_count(deployment))


def services_of(plan, service):
    """Returns the services that one call of `service` occupies, with the inner ones."""
    return [service] + [it.split(":")[0] for it in plan["services"][service][3]]


def holding_times(plan, phase):
    """Returns the mean time in seconds for which a request holds a slot, by service."""
    own = {it: plan["service_time_ms"] / 1000 for it in plan["services"]}
    if phase in ("slow", "combined"):
        own[plan["deep"]] *= SLOWDOWN
    # An upstream keeps its slot during its inner calls.
    held = {it: sum(own[inner] for inner in services_of(plan, it)) for it in own}
    return own, held


def capacities(plan, phase):
    """Returns requests per second of each service in that phase, by slots and holding time."""
    _, held = holding_times(plan, phase)
    result = {}
    for service, (targets, slots, _, _) in plan["services"].items():
        if phase == "lost" and service == plan["most_used"]:
            targets -= 1
        result[service] = targets * (slots // SLOT_SCALE) / held[service]
    return result


def within_deadline(stages, deadline):
    """Returns the probability that the sum of one or two exponential times is within a time."""
    if len(stages) == 1:
        return 1 - math.exp(-deadline / stages[0])
    a, b = stages
    if abs(a - b) < 1e-9:
        return 1 - math.exp(-deadline / a) * (1 + deadline / a)
    return 1 - (a * math.exp(-deadline / a) - b * math.exp(-deadline / b)) / (a - b)


def routes_of(deployment):
    """Returns the service and the deadline in seconds of each route of the load."""
    result = {}
    for account in read_json(ROOT / "examples" / deployment / "load.json")["accounts"]:
        for call in account["calls"]:
            result[call["route"]] = (call["path"].split("/")[1], call["deadline_ms"] / 1000)
    return result


def allowance(deployment, phase, demand):
    """Returns the whole requests per second that the capacity allows.

    `demand` is the in-rate demand per second by route. Of each route, the part that is done
    within its deadline counts, because service times are exponential. Services are filled with
    calls of their own first; a call with an inner call counts as one request and needs both.
    """
    plan = DEPLOYMENTS[deployment]
    own, _ = holding_times(plan, phase)
    capacity = capacities(plan, phase)
    routes = routes_of(deployment)
    simple = dict.fromkeys(plan["services"], 0.0)
    deep = dict.fromkeys(plan["services"], 0.0)
    for route, per_second in demand.items():
        service, deadline = routes[route]
        chain = services_of(plan, service)
        per_second *= within_deadline([own[it] for it in chain], deadline)
        if phase == "cut" and route in plan["once"]:
            # Requests that run at most once are refused by design where the platform is cut off.
            vms = vm_count(deployment)
            lost = sum(1 for n in range(vms) if n % 3 == 2)
            per_second *= 1 - lost / vms
        (simple if len(chain) == 1 else deep)[service] += per_second
    total = 0.0
    left = dict(capacity)
    for service, per_second in simple.items():
        done = min(per_second, left[service])
        left[service] -= done
        total += done
    for service, per_second in deep.items():
        if per_second > 0:
            done = min([per_second] + [left[it] for it in services_of(plan, service)])
            for it in services_of(plan, service):
                left[it] -= done
            total += done
    return total


def even_parts(deployment, phase, demand):
    """Returns the part of each account's in-rate demand that is served when each service serves
    the same part of all in-rate demand, by account."""
    plan = DEPLOYMENTS[deployment]
    own, _ = holding_times(plan, phase)
    routes = routes_of(deployment)
    wanted = dict.fromkeys(plan["services"], 0.0)
    for route, per_second in demand.items():
        for service in services_of(plan, routes[route][0]):
            wanted[service] += per_second
    capacity = capacities(plan, phase)
    part = {it: min(1.0, capacity[it] / wanted[it]) if wanted[it] else 1.0 for it in wanted}
    result = {}
    for account in read_json(ROOT / "examples" / deployment / "load.json")["accounts"]:
        served = 0.0
        for call in account["calls"]:
            service, deadline = routes[call["route"]]
            chain = services_of(plan, service)
            served += call["per_second"] * min(
                [part[it] for it in chain]
                + [within_deadline([own[it] for it in chain], deadline)])
        result[account["name"]] = served / sum(it["per_second"] for it in account["calls"])
    return result


def demand_of_service(scenario, service):
    return sum(call["per_second"] for account in scenario["accounts"] for call in account["calls"]
               if call["path"].startswith(f"/{service}/"))


def make_scenario(deployment, phases, seed):
    """Returns the scenario of a run: the deployment's example load with the chosen phases."""
    plan = DEPLOYMENTS[deployment]
    result = read_json(ROOT / "examples" / deployment / "load.json")
    capacity = capacities(plan, "base")[plan["most_used"]]
    usual = demand_of_service(result, plan["most_used"])
    surge = round(3 * capacity / usual, 3)
    greedy = next(it for it in result["accounts"] if it["name"] == plan["greedy"])
    greedy_factor = round(
        5 * greedy["rate"] / sum(it["per_second"] for it in greedy["calls"]), 3)
    result.update(seed=seed, connections=100 * vm_count(deployment), phases=[])
    at = LEAD_S
    for name in phases:
        phase = {"name": name, "start_s": at, "duration_s": PHASE_S.get(name, OTHER_PHASE_S)}
        if name in ("surge", "combined"):
            phase["factor"] = surge
        if name == "greedy":
            phase["account_factors"] = {plan["greedy"]: greedy_factor}
        if name == "storm":
            phase["factor"] = round(surge / 2, 3)
            phase["retries"] = {"fraction": 1, "attempts": 5, "honour_retry_after": False,
                                "pause_ms": 0}
        if name in ("slow", "cut", "lost", "combined"):
            phase["disturbed"] = True
        at += phase["duration_s"]
        rest = {"name": f"{name} rest", "start_s": at, "duration_s": REST_S}
        result["phases"] += [phase, rest]
        at += REST_S
    result["duration_s"] = at
    return result


def begin_fault(fleet, phase):
    if phase in ("slow", "combined"):
        fleet.set_slowdown(fleet.plan["deep"], SLOWDOWN)
    elif phase == "cut":
        fleet.cut(fleet.data_centres[2])
    elif phase == "lost":
        vm = lost_vm(fleet)
        vm.upstream.kill()
        vm.node.kill()


def end_fault(fleet, phase):
    if phase in ("slow", "combined"):
        fleet.set_slowdown(fleet.plan["deep"], 1)
    elif phase == "cut":
        fleet.heal()
    elif phase == "lost":
        vm = lost_vm(fleet)
        vm.upstream.wait()
        vm.node.wait()
        fleet.start_node(vm)
        fleet.start_upstream(vm)


def lost_vm(fleet):
    """The last VM of the most used service, which is no seed."""
    return [it for it in fleet.vms if it.service == fleet.plan["most_used"]][-1]


def sleep_until(at):
    wait = at - time.time()
    if wait > 0:
        time.sleep(wait)


def run_faults(fleet, scenario, start):
    """Disturbs the fleet along the phases. Returns the executions in each phase and its rest."""
    executions = {}
    for phase, rest in zip(scenario["phases"][::2], scenario["phases"][1::2]):
        name, begin = phase["name"], start + phase["start_s"]
        sleep_until(begin)
        # Before the fault: it may end an upstream with its counter.
        before = fleet.executed()
        begin_fault(fleet, name)
        sleep_until(start + rest["start_s"])
        end_fault(fleet, name)
        sleep_until(start + rest["start_s"] + rest["duration_s"] - 0.05)
        # The counter of an upstream that was started again counts from 0.
        executions[name] = sum(
            n - before.get(vm, 0) if n >= before.get(vm, 0) else n
            for vm, n in fleet.executed().items())
    return executions


def run_once(deployment, policy, repeat, phases, seed):
    """Runs one policy through all phases. Returns the measures of the run."""
    folder = tempfile.mkdtemp(prefix="damaskledge-measure-")
    fleet = Fleet(deployment, policy, folder)
    complete = False
    try:
        fleet.start()
        scenario = make_scenario(deployment, phases, seed)
        scenario_file = fleet.folder / "load.json"
        scenario_file.write_text(json.dumps(scenario, indent=1), encoding="utf-8")
        start_file = fleet.folder / "start"
        report_file = fleet.folder / "report.json"
        with open(report_file, "wb") as out, open(fleet.folder / "load.log", "wb") as errors:
            load = subprocess.Popen(
                [BIN / "damaskledge-load", f"--scenario={scenario_file}",
                 f"--keys={fleet.folder}/keys.json",
                 "--nodes=" + ",".join(it.port(8080) for it in fleet.vms),
                 f"--start_file={start_file}", "--output=json"], stdout=out, stderr=errors)
        fleet.processes.append(load)
        fleet.wait_until(start_file.exists, 30, "start of damaskledge-load")
        executions = run_faults(fleet, scenario, int(start_file.read_text()) / 1000)
        status = load.wait(60)
        if status not in (0, 3):
            raise RuntimeError(f"damaskledge-load ended with status {status}; "
                               f"its log is in {folder}")
        report = json.loads(report_file.read_text(encoding="utf-8"))
        result = summarise_run(deployment, scenario, report, executions)
        result.update(policy=policy, repeat=repeat, seed=seed, promise_broken=status == 3)
        complete = True
        return result
    finally:
        fleet.stop()
        if complete:
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(f"the logs of the failed run are in {folder}", file=sys.stderr)


def mark_discarded(phase):
    """Discards a phase in which the fleet did not have the lists of this run."""
    foreign = sorted(FOREIGN_REASONS & set(phase["refusals"]))
    if foreign:
        phase["discarded"] = f"another fleet's lists were in force ({', '.join(foreign)})"


def summarise_run(deployment, scenario, report, executions):
    plan = DEPLOYMENTS[deployment]
    routes = routes_of(deployment)
    timeline = report["timeline"]
    step_s = timeline["step_ms"] / 1000
    phases = {}
    for it, rest, times in zip(report["phases"][::2], report["phases"][1::2],
                               scenario["phases"][::2]):
        name, length = it["name"], it["seconds"]
        first = round((times["start_s"] + ANSWER_SHIFT_S) / step_s)
        goodput = sum(timeline["good"][first:first + round(length / step_s)]) / length
        demand = {route: n["in_rate"] / length for route, n in it["routes"].items()}
        allowed = allowance(deployment, name, demand)
        in_rate = sum(account["in_rate"] for account in it["accounts"])
        refused = sum(account["calls_refused_in_rate"] for account in it["accounts"])
        # More in-rate demand than the capacity allows must be refused by any policy.
        needed = max(0.0, in_rate - allowed * length)
        worst = min((a for a in it["accounts"] if a["in_rate"] > 0), key=lambda a: a["served"])
        even = even_parts(deployment, name, demand)
        useful = sum(n["good"] * len(services_of(plan, routes[route][0]))
                     for part in (it, rest) for route, n in part["routes"].items())
        executed = executions.get(name, 0)
        phases[name] = {
            "offered_per_second": it["offered"] / length,
            "in_rate_per_second": in_rate / length,
            "allowed_per_second": allowed,
            "goodput_per_second": goodput,
            "goodput_part": goodput / allowed,
            "recovery_s": it["recovery_seconds"],
            "base": it["base"],
            "worst_account": worst["name"],
            "worst_served": worst["served"],
            "worst_of_even_part": min(a["served"] / even[a["name"]] for a in it["accounts"]
                                      if a["in_rate"] > 0),
            "refused_per_thousand": 1000 * refused / in_rate,
            "avoidable_refused_per_thousand": 1000 * max(0.0, refused - needed) / in_rate,
            "p99_ms": it["latency"]["p99_ms"],
            "attempts_per_request": it["attempts"] / it["offered"],
            "wasted_work": max(0.0, 1 - useful / executed) if executed else None,
            "served": {a["name"]: a["served"] for a in it["accounts"] if a["in_rate"] > 0},
            "admitted_above_rate": sum(a["admitted_above_rate"] for a in it["accounts"]),
            "routes": it["routes"],
            "results": it["results"],
            "refusals": it["refusals"],
        }
        mark_discarded(phases[name])
    return {
        "phases": phases,
        "phase_times": [[it["name"], it["start_s"], it["duration_s"]]
                        for it in scenario["phases"][::2]],
        "admitted_above_rate": {a["name"]: a["admitted_above_rate"] for a in report["accounts"]},
        "wrong_answers": report["results"].get("wrong", 0),
        "late_sends": report["late_sends"],
        "attempts": report["attempts"],
        "timeline": report["timeline"],
    }


# Measures that are summarised over the repeats.
SUMMARISED = ("goodput_per_second", "allowed_per_second", "in_rate_per_second", "goodput_part",
              "recovery_s", "worst_served", "worst_of_even_part", "refused_per_thousand",
              "avoidable_refused_per_thousand", "p99_ms", "attempts_per_request", "wasted_work")


def summarise(runs):
    """Returns median, lowest and highest of each measure by policy and phase."""
    result = {}
    for policy in POLICIES:
        mine = [it for it in runs if it["policy"] == policy]
        if not mine:
            continue
        result[policy] = {}
        for phase in mine[0]["phases"]:
            rows = [it["phases"][phase] for it in mine if "discarded" not in it["phases"][phase]]
            if not rows:
                continue
            summary = {}
            for name in SUMMARISED:
                values = [it[name] for it in rows]
                known = [it for it in values if it is not None]
                # A recovery that was not seen is longer than each one that was.
                if name == "recovery_s" and not rows[0]["base"]:
                    known = [math.inf if it is None else it for it in values]
                if known:
                    summary[name] = {"median": statistics.median(known), "lowest": min(known),
                                     "highest": max(known)}
            summary["worst_accounts"] = sorted({it["worst_account"] for it in rows})
            result[policy][phase] = summary
    return result


def finite(value):
    """JSON has no infinity; a recovery that was not seen becomes null."""
    if isinstance(value, dict):
        return {key: finite(it) for key, it in value.items()}
    if isinstance(value, list):
        return [finite(it) for it in value]
    if isinstance(value, float):
        return round(value, 5) if math.isfinite(value) else None
    return value


def spread(summary, name, form):
    """Formats a median with its spread; one figure when they look the same."""
    if name not in summary:
        return "-"
    texts = [("not seen" if math.isinf(summary[name][it]) else form(summary[name][it]))
             for it in ("median", "lowest", "highest")]
    return texts[0] if texts[1] == texts[2] else f"{texts[0]} ({texts[1]} to {texts[2]})"


def percent(value):
    return f"{100 * value:.1f}%"


def hit(good):
    return "hit" if good else "**miss**"


def markdown(deployment, setup, runs, summary):
    count = {it: sum(run["policy"] == it for run in runs) for it in POLICIES}
    lines = [
        f"Measured {setup['started']} to {setup['ended']}; runs: "
        + ", ".join(f"{it} {n}" for it, n in count.items() if n)
        + f". {setup['command']}",
        "",
        f"Machine: {setup['machine']}. Load average at the start: {setup['load_average']}.",
        "",
        f"Scale: {vm_count(deployment)} VMs in three data centres, slots 1/{SLOT_SCALE} of the "
        f"stated ones, service times exponential with a mean of {setup['service_time_ms']} ms, "
        f"phases of {OTHER_PHASE_S} or 6 s with rests of {REST_S} s, surge factor "
        f"{setup['surge_factor']:g}, fixed limit {setup['fixed_limit']} per node and target. "
        "Figures are medians over the runs, with lowest and highest.",
        "",
        "| phase | policy | goodput/s | allowed/s | part of allowed | recovery s | worst-served "
        "account | refused in rate per 1,000 | of these avoidable | p99 ms | attempts per request "
        "| wasted work |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    policies = list(summary)
    for phase in summary[policies[0]]:
        for policy in (name for name in policies if phase in summary[name]):
            it = summary[policy][phase]
            lines.append("| " + " | ".join([
                phase, policy,
                spread(it, "goodput_per_second", lambda v: f"{v:.0f}"),
                spread(it, "allowed_per_second", lambda v: f"{v:.0f}"),
                spread(it, "goodput_part", percent),
                spread(it, "recovery_s", lambda v: f"{v:.1f}"),
                spread(it, "worst_served", percent) + " " + ", ".join(it["worst_accounts"]),
                spread(it, "refused_per_thousand", lambda v: f"{v:.1f}"),
                spread(it, "avoidable_refused_per_thousand", lambda v: f"{v:.1f}"),
                spread(it, "p99_ms", lambda v: f"{v:.0f}"),
                spread(it, "attempts_per_request", lambda v: f"{v:.2f}"),
                spread(it, "wasted_work", percent),
            ]) + " |")
    discarded = [f"Discarded: phase {name} of run {run['repeat']} of `{run['policy']}`, because "
                 f"{it['discarded']}."
                 for run in runs for name, it in run["phases"].items() if "discarded" in it]
    if discarded:
        lines += ["", *discarded]
    if "chosen" in summary:
        lines += ["", *target_table(summary["chosen"], runs)]
    lines += ["", f"![goodput over time](measurements/{deployment}-goodput.svg)", "",
              f"![the four measures](measurements/{deployment}-measures.svg)"]
    return lines


def target_table(chosen, runs):
    """Judges the medians of the policy "chosen" against its targets, phase by phase."""
    lines = [
        "Targets of the policy `chosen`, judged by the medians. Where the capacity does not allow "
        "the whole in-rate demand, the worst-served account is judged against its even part, and "
        "the refusals by those that the capacity does not force.",
        "",
        "| phase | goodput at least 95% of allowed | back to 99% within 2 s | worst-served account "
        "at least 95% | fewer than 1 in 1,000 refused |",
        "| --- | --- | --- | --- | --- |",
    ]
    for phase, it in chosen.items():
        part = it["goodput_part"]["median"]
        cells = [f"{percent(part)} {hit(part >= LEAST_GOODPUT_PART)}"]
        if "recovery_s" in it:
            recovery = it["recovery_s"]["median"]
            text = "not seen" if math.isinf(recovery) else f"{recovery:.1f} s"
            cells.append(f"{text} {hit(recovery <= LONGEST_RECOVERY_S)}")
        else:
            cells.append("-")
        served, even = it["worst_served"]["median"], it["worst_of_even_part"]["median"]
        cells.append(f"{percent(served)}, at least {percent(even)} of the even part "
                     f"{hit(even >= LEAST_SERVED)}")
        refused = it["avoidable_refused_per_thousand"]["median"]
        cells.append(f"{refused:.1f} avoidable {hit(refused < REFUSED_PER_THOUSAND)}")
        lines.append("| " + " | ".join([phase, *cells]) + " |")
    above = [sum(it["admitted_above_rate"].values()) for it in runs if it["policy"] == "chosen"]
    lines += ["", f"Requests admitted above rate * time + burst over the fleet, by run: "
                  f"{', '.join(map(str, above))}; target 0: {hit(sum(above) == 0)}."]
    return lines


def svg(width, height, body):
    return "\n".join([
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'viewBox="0 0 {width} {height}" font-family="sans-serif" font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>', *body, "</svg>", ""])


def text(x, y, content, anchor="start", extra=""):
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" {extra}>{html.escape(content)}</text>'


def round_up(value):
    """Returns the next number with one or two significant digits for the end of an axis."""
    if value <= 0:
        return 1
    unit = 10 ** math.floor(math.log10(value))
    return next(it * unit for it in (1, 1.5, 2, 3, 4, 5, 6, 8, 10) if value <= it * unit)


def known_goodput(run):
    """Returns the answers of each step, with None from the first discarded phase on."""
    step_s = run["timeline"]["step_ms"] / 1000
    ends = [start for name, start, _ in run["phase_times"] if "discarded" in run["phases"][name]]
    good = run["timeline"]["good"]
    end = round(min(ends) / step_s) if ends else len(good)
    return good[:end] + [None] * (len(good) - end)


def goodput_plot(deployment, runs):
    """Goodput of each policy over time: medians over the repeats, one point for each step."""
    series = {}
    for policy in POLICIES:
        mine = [it for it in runs if it["policy"] == policy]
        if mine:
            per_second = 1000 / mine[0]["timeline"]["step_ms"]
            steps = zip(*(known_goodput(it) for it in mine))
            known = [[value for value in step if value is not None] for step in steps]
            series[policy] = [per_second * statistics.median(it) for it in known if it]
    step_s = runs[0]["timeline"]["step_ms"] / 1000
    end_s = step_s * len(runs[0]["timeline"]["good"])
    top = round_up(max(max(it) for it in series.values()))
    left, right, upper, lower, width, height = 60, 20, 50, 40, 1000, 380
    def x(at):
        return left + (width - left - right) * at / end_s
    def y(value):
        return height - lower - (height - upper - lower) * value / top
    body = [text(left, 18, f"{deployment}: goodput over time, whole requests/s, median of the runs",
                 extra='font-weight="bold"')]
    for name, start, length in runs[0]["phase_times"]:
        body.append(f'<rect x="{x(start):.1f}" y="{upper}" width="{x(start + length) - x(start):.1f}" '
                    f'height="{height - upper - lower}" fill="#eeeeee"/>')
        body.append(text(x(start) + 3, upper + 14, name))
    for n in range(5):
        value = top * n / 4
        body.append(f'<line x1="{left}" y1="{y(value):.1f}" x2="{width - right}" y2="{y(value):.1f}" '
                    'stroke="#cccccc"/>')
        body.append(text(left - 6, y(value) + 4, f"{value:g}", "end"))
    for at in range(0, int(end_s) + 1, 10):
        body.append(text(x(at), height - lower + 18, f"{at} s", "middle"))
    for n, (policy, values) in enumerate(series.items()):
        points = " ".join(f"{x((it + 0.5) * step_s):.1f},{y(value):.1f}"
                          for it, value in enumerate(values))
        body.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[policy]}" '
                    'stroke-width="1.5"/>')
        body.append(f'<rect x="{left + 110 * n}" y="28" width="12" height="12" '
                    f'fill="{COLOURS[policy]}"/>')
        body.append(text(left + 110 * n + 18, 39, policy))
    return svg(width, height, body)


def measures_plot(deployment, runs, summary):
    """Bars of the four measures over all phases but the base, as medians over the runs."""
    longest = max(it["recovery_s"] or 0 for run in runs for it in run["phases"].values())
    panels = {"goodput, part of allowed": {}, "longest recovery, s": {},
              "worst-served account": {}, "refused in rate per 1,000": {}}
    for policy in summary:
        rows = []
        for run in (it for it in runs if it["policy"] == policy):
            if any("discarded" in it for it in run["phases"].values()):
                continue
            phases = [it for it in run["phases"].values() if not it["base"]] or list(
                run["phases"].values())
            unseen = any(not it["base"] and it["recovery_s"] is None for it in phases)
            in_rate = sum(it["in_rate_per_second"] for it in phases)
            rows.append((
                sum(it["goodput_per_second"] for it in phases)
                / sum(it["allowed_per_second"] for it in phases),
                math.inf if unseen else max((it["recovery_s"] or 0 for it in phases), default=0),
                min(it["worst_served"] for it in phases),
                sum(it["refused_per_thousand"] * it["in_rate_per_second"] for it in phases)
                / in_rate))
        if not rows:
            continue
        for panel, values in zip(panels.values(), zip(*rows)):
            panel[policy] = statistics.median(values)
    width, height, base, upper = 1000, 300, 250, 60
    body = [text(20, 18, f"{deployment}: the four measures over all disturbed phases, median of "
                 "the runs", extra='font-weight="bold"')]
    for n, (title, values) in enumerate(panels.items()):
        left = 20 + 245 * n
        known = [it for it in values.values() if math.isfinite(it)]
        top = round_up(max([*known, longest if n == 1 else 0]))
        body.append(text(left, 42, title))
        body.append(f'<line x1="{left}" y1="{base}" x2="{left + 215}" y2="{base}" stroke="black"/>')
        for k, (policy, value) in enumerate(values.items()):
            length = (base - upper - 15) * (1 if math.isinf(value) else value / top)
            label = ("not seen" if math.isinf(value)
                     else percent(value) if n in (0, 2) else f"{value:.1f}")
            x = left + 10 + 70 * k
            body.append(f'<rect x="{x}" y="{base - length:.1f}" width="50" height="{length:.1f}" '
                        f'fill="{COLOURS[policy]}"'
                        + (' fill-opacity="0.4"' if math.isinf(value) else "") + "/>")
            body.append(text(x + 25, base - length - 4, label, "middle"))
            body.append(text(x + 25, base + 16, policy, "middle"))
    return svg(width, height, body)


def replace_block(page, name, lines):
    """Replaces what stands between the markers of that name in a Markdown page."""
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    block = "\n".join([begin, *lines, end])
    content = page.read_text(encoding="utf-8") if page.exists() else f"{begin}\n{end}\n"
    if begin not in content:
        content += f"\n{begin}\n{end}\n"
    head, rest = content.split(begin, 1)
    page.write_text(head + block + rest.split(end, 1)[1], encoding="utf-8")


def write_results(output, deployment, setup, runs):
    folder = output / "measurements"
    folder.mkdir(parents=True, exist_ok=True)
    summary = summarise(runs)
    setup["ended"] = now_text()
    # One line for each run: readable differences without a line for each figure.
    rows = ",\n".join(json.dumps(finite(it)) for it in runs)
    document = (f'{{"setup": {json.dumps(setup)},\n"summary": {json.dumps(finite(summary))},\n'
                f'"runs": [\n{rows}\n]}}\n')
    json.loads(document)
    (folder / f"{deployment}.json").write_text(document, encoding="utf-8")
    (folder / f"{deployment}-goodput.svg").write_text(goodput_plot(deployment, runs), "utf-8")
    (folder / f"{deployment}-measures.svg").write_text(
        measures_plot(deployment, runs, summary), "utf-8")
    replace_block(output / "measurements.md", deployment,
                  markdown(deployment, setup, runs, summary))


def now_text():
    return datetime.datetime.now(datetime.timezone.utc).strftime("%Y-%m-%d %H:%M UTC")


def machine_text():
    model = ""
    try:
        model = next((line.split(":", 1)[1].strip() for line in open("/proc/cpuinfo")
                      if line.startswith("model name")), "")
        memory = next(int(line.split()[1]) for line in open("/proc/meminfo")
                      if line.startswith("MemTotal"))
    except OSError:
        memory = 0
    return (f"{os.cpu_count()} cores {model}, {memory / 2**20:.0f} GB, "
            f"{machine_platform.system()} {machine_platform.machine()}")


def measure_policies(options):
    phases = options.phases.split(",") if options.phases else list(PHASES)
    policies = options.policies.split(",") if options.policies else list(POLICIES)
    for chosen, known in ((phases, PHASES), (policies, POLICIES)):
        unknown = [it for it in chosen if it not in known]
        if unknown:
            sys.exit(f"unknown: {', '.join(unknown)}; use some of {', '.join(known)}")
    # Recovery is compared with the base.
    phases = ["base"] + [it for it in PHASES if it in phases and it != "base"]
    sample = make_scenario(options.deployment, ["surge"], 1)
    setup = {
        "command": "`" + " ".join(["scripts/measure.py", *sys.argv[1:]]) + "`",
        "started": now_text(),
        "machine": machine_text(),
        "load_average": " ".join(f"{it:.1f}" for it in os.getloadavg()),
        "slot_scale": SLOT_SCALE,
        "service_time_ms": DEPLOYMENTS[options.deployment]["service_time_ms"],
        "surge_factor": sample["phases"][0]["factor"],
        "fixed_limit": fixed_limit(options.deployment),
        "capacity_per_second": capacities(DEPLOYMENTS[options.deployment], "base"),
    }
    runs = []
    first = 1
    if options.append:
        before = json.loads((options.output / "measurements" / f"{options.deployment}.json")
                            .read_text(encoding="utf-8"))
        runs = before["runs"]
        if {tuple(it["phases"]) for it in runs} != {tuple(phases)}:
            sys.exit("--append: the present runs have other phases")
        first = 1 + max(it["repeat"] for it in runs)
        setup["started"] = before["setup"]["started"]
        setup["load_average"] = f"{before['setup']['load_average']}; {setup['load_average']}"
        setup["command"] = f"{before['setup']['command']}, {setup['command']}"
    for repeat in range(first, first + options.repeats):
        for policy in policies:
            begin = time.monotonic()
            run = run_once(options.deployment, policy, repeat, phases, options.seed + repeat)
            runs.append(run)
            write_results(options.output, options.deployment, setup, runs)
            print(f"{options.deployment} {policy} run {repeat}: "
                  f"{time.monotonic() - begin:.0f} s, late sends {run['late_sends']} "
                  f"of {run['attempts']}", flush=True)
            for name, it in run["phases"].items():
                recovery = "-" if it["recovery_s"] is None else f"{it['recovery_s']:.1f}"
                wasted = "-" if it["wasted_work"] is None else percent(it["wasted_work"])
                print(f"  {name:9} {it['goodput_per_second']:7.0f}/s of "
                      f"{it['allowed_per_second']:5.0f} {percent(it['goodput_part']):>6} "
                      f"recovery {recovery:>4} worst {percent(it['worst_served']):>6} "
                      f"{it['worst_account']:20} refused/1000 {it['refused_per_thousand']:6.1f} "
                      f"even {percent(it['worst_of_even_part'])} "
                      f"avoidable {it['avoidable_refused_per_thousand']:6.1f} "
                      f"p99 {it['p99_ms']:5.0f} attempts {it['attempts_per_request']:.2f} "
                      f"wasted {wasted}", flush=True)


def processor_seconds(process):
    """Processor time of a process and all its threads since its start."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_idle(options):
    """Prints the traffic between nodes and the processor time of an idle fleet."""
    folder = tempfile.mkdtemp(prefix="damaskledge-measure-")
    fleet = Fleet(options.deployment, "chosen", folder)
    try:
        fleet.start()
        time.sleep(3)
        def sample():
            return [(time.monotonic(), fleet.metrics(vm), processor_seconds(vm.node))
                    for vm in fleet.vms]
        before = sample()
        time.sleep(options.idle)
        after = sample()
        rows = {"sent B/s": [], "received B/s": [], "processor % of a core": [],
                "ticker % of a core": []}
        for (start, old, old_cpu), (end, new, new_cpu) in zip(before, after):
            length = end - start
            rows["sent B/s"].append(
                (new["damaskledge_peer_sent_bytes"] - old["damaskledge_peer_sent_bytes"]) / length)
            rows["received B/s"].append(
                (new["damaskledge_peer_received_bytes"] - old["damaskledge_peer_received_bytes"])
                / length)
            rows["processor % of a core"].append(100 * (new_cpu - old_cpu) / length)
            rows["ticker % of a core"].append(
                100 * (new["damaskledge_ticker_seconds"] - old["damaskledge_ticker_seconds"])
                / length)
        print(f"idle fleet of {len(fleet.vms)} nodes over {options.idle:g} s, by node:")
        for name, values in rows.items():
            print(f"  {name:22} median {statistics.median(values):8.2f}  "
                  f"highest {max(values):8.2f}")
    finally:
        fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="moquegua")
    parser.add_argument("--repeats", type=int, default=3, help="runs of each policy")
    parser.add_argument("--policies", default="", help="some of " + ",".join(POLICIES))
    parser.add_argument("--phases", default="",
                        help="some of " + ",".join(PHASES) + "; base is always run")
    parser.add_argument("--seed", type=int, default=100, help="seeds count up from here")
    parser.add_argument("--subnet", type=int, default=0,
                        help="second byte of the addresses 127.*.*.*; 0 for the deployment's own")
    parser.add_argument("--append", action="store_true",
                        help="add the runs to those of the present JSON file")
    parser.add_argument("--output", type=pathlib.Path, default=ROOT / "docs",
                        help="folder for measurements.md and measurements/")
    parser.add_argument("--idle", type=float, default=0, metavar="SECONDS",
                        help="measure an idle fleet for this time instead")
    options = parser.parse_args()
    if options.subnet:
        DEPLOYMENTS[options.deployment]["subnet"] = options.subnet
    # SIGTERM unwinds like an interrupt, so that the processes of the run are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if options.idle > 0:
        measure_idle(options)
    else:
        measure_policies(options)


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        sys.exit(130)
    except (RuntimeError, subprocess.TimeoutExpired) as error:
        sys.exit(str(error))
