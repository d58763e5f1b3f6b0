"""Prove small transition systems with Spacer and print counterexamples."""

import sys
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

import z3

MAX_TRACE_STEPS = 24
PROOF_TIMEOUT_MS = 120_000

State = dict[str, Any]
Step = Callable[[State], tuple[Any, State]]


class System(NamedTuple):
    """Describe states, steps and the states that must not be reached.

    A step gives its guard and the variables that it changes.
    """

    variables: dict[str, Any]
    initial: State
    steps: dict[str, Step]
    bad: Callable[[State], Any]


Build = Callable[[Collection[str]], System]


def make_state(system: System, suffix: str) -> State:
    """Make one constant for each variable."""
    return {
        name: z3.Const(f"{name}{suffix}", sort)
        for name, sort in system.variables.items()
    }


def apply_step(step: Step, before: State, after: State) -> Any:
    """Express that a step leads from one state to another."""
    guard, changes = step(before)
    frame = {**before, **changes}
    return z3.And(guard, *[after[name] == frame[name] for name in after])


def is_initial(system: System, state: State) -> Any:
    """Express that a state is the first one."""
    return z3.And(
        *[state[name] == value for name, value in system.initial.items()]
    )


def is_proved(system: System) -> bool:
    """Prove with no bound on steps that no bad state is reached."""
    before, after = make_state(system, ""), make_state(system, "'")
    reached = z3.Function("reached", *system.variables.values(), z3.BoolSort())
    engine = z3.Fixedpoint()
    engine.set(engine="spacer", timeout=PROOF_TIMEOUT_MS)
    engine.register_relation(reached)
    engine.declare_var(*before.values(), *after.values())
    engine.rule(reached(*before.values()), is_initial(system, before))
    for step in system.steps.values():
        engine.rule(
            reached(*after.values()),
            [reached(*before.values()), apply_step(step, before, after)],
        )
    result = engine.query(reached(*before.values()), system.bad(before))
    return bool(result == z3.unsat)


def find_trace(system: System) -> list[tuple[str, State]] | None:
    """Find a shortest run to a bad state within MAX_TRACE_STEPS."""
    solver = z3.Solver()
    states = [make_state(system, "@0")]
    solver.add(is_initial(system, states[0]))
    choices: list[Any] = []
    for depth in range(MAX_TRACE_STEPS + 1):
        if solver.check(system.bad(states[-1])) == z3.sat:
            return read_trace(system, solver.model(), states, choices)
        states.append(make_state(system, f"@{depth + 1}"))
        choices.append(z3.Int(f"step@{depth}"))
        options = [
            z3.And(
                choices[-1] == index, apply_step(step, states[-2], states[-1])
            )
            for index, step in enumerate(system.steps.values())
        ]
        solver.add(z3.Or(*options))
    return None


def read_trace(
    system: System, model: Any, states: list[State], choices: list[Any]
) -> list[tuple[str, State]]:
    """Name the steps of a model and the variables that each changed."""
    names = list(system.steps)
    trace = []
    for index, choice in enumerate(choices):
        changes = {}
        for name in system.variables:
            old = model.eval(states[index][name], model_completion=True)
            new = model.eval(states[index + 1][name], model_completion=True)
            if not old.eq(new):
                changes[name] = new
        trace.append((names[model.eval(choice).as_long()], changes))
    return trace


def say(text: str) -> None:
    """Write one line."""
    sys.stdout.write(f"{text}\n")


def say_trace(trace: list[tuple[str, State]]) -> None:
    """Print a run, one step a line."""
    for number, (name, changes) in enumerate(trace, 1):
        listed = " ".join(f"{key}={new}" for key, new in changes.items())
        say(f"  {number:2} {name:24} {listed}")


def check(title: str, build: Build, guards: Collection[str]) -> int:
    """Prove a system and refute it without each guard; 0 if as expected."""
    failures = 0
    if is_proved(build(frozenset())):
        say(f"{title}: proved, no bound on steps")
    else:
        say(f"{title}: NOT PROVED")
        trace = find_trace(build(frozenset()))
        say_trace(trace or [])
        failures += 1
    for guard in guards:
        trace = find_trace(build(frozenset([guard])))
        if trace is None:
            say(f"{title} without {guard}: NO COUNTEREXAMPLE")
            failures += 1
            continue
        say(f"{title} without {guard}: broken in {len(trace)} steps")
        say_trace(trace)
    return 1 if failures else 0
