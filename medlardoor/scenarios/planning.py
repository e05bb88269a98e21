"""Checks the steps of a scenario and binds them to their functions."""

import dataclasses
import functools
import inspect
import types
import typing

import anyio
import pydantic
import result

from medlardoor import errors
from medlardoor.config import base
from medlardoor.scenarios import checks, conditions, language, steps
from medlardoor.scenarios import world as world_module

__all__ = ["PlannedStep", "plan"]

DEFAULT_WAIT_S = 10.0
# Some conditions read all records.
WAIT_POLL_S = 0.2


def _public_functions(module: types.ModuleType) -> dict[str, typing.Callable]:
    """Functions of a module by name, with hyphens."""
    found = {name: getattr(module, name) for name in module.__all__}
    return {
        name.replace("_", "-"): function
        for name, function in found.items()
        if inspect.isfunction(function)
    }


# Functions by verb and first word; the empty word stands for any other.
FUNCTIONS: dict[str, dict[str, typing.Callable]] = {
    "start": {
        "platform": steps.start_platform,
        "service": steps.start_service,
    },
    "load": {"": steps.start_load},
    "fault": {
        "platform": steps.set_platform_fault,
        "upstream": steps.set_upstream_faults,
        "": steps.inject_fault,
    },
    "promote": {"": steps.promote},
    "stop": {"": steps.stop},
    "wait-for": _public_functions(conditions),
    "expect": _public_functions(checks),
}


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStep:
    """A step with checked options.

    Attributes:
        line: Line of the step.
        verb: What to do.
        function: Does it; takes the world, a condition too, or the evidence.
        within_s: Longest wait for a condition.
    """

    line: int
    verb: str
    function: typing.Callable
    within_s: float

    async def run(
        self, world: world_module.World
    ) -> result.Result[str, errors.Failure]:
        """Does the step."""
        if self.verb == "expect":
            return self.function(world.evidence())
        if self.verb == "wait-for":
            return await self._wait(world)
        return await self.function(world)

    async def _wait(self, world):
        seen = self.function(world)
        with anyio.move_on_after(self.within_s):
            while seen.is_err():
                await anyio.sleep(WAIT_POLL_S)
                seen = self.function(world)
        return seen


def plan(
    text: str, source: str
) -> result.Result[list[PlannedStep], errors.InvalidInput]:
    """Checks all steps of a scenario before any of them runs.

    Args:
        text: Content of the file.
        source: Name of the file, for the failure.
    """
    parsed = language.parse(text, source)
    if parsed.is_err():
        return parsed
    planned = [_bind(step) for step in parsed.unwrap()]
    faults = tuple(p.unwrap_err() for p in planned if p.is_err())
    if faults:
        return result.Err(errors.InvalidInput(source, faults))
    return result.Ok([p.unwrap() for p in planned])


def _bind(step: language.Step) -> result.Result[PlannedStep, errors.Fault]:
    functions = FUNCTIONS[step.verb]
    words = list(step.words)
    function = functions.get("")
    if words and words[0] in functions:
        function = functions[words.pop(0)]
    if function is None:
        known = ", ".join(functions)
        return result.Err(_fault(step, f"one of {known} after {step.verb}"))
    options = dict(step.options)
    within_s = DEFAULT_WAIT_S
    if step.verb == "wait-for":
        within_s = float(options.pop("within_s", DEFAULT_WAIT_S))
    bound = _bind_options(function, words, options)
    return bound.map(
        lambda ready: PlannedStep(step.line, step.verb, ready, within_s)
    ).map_err(lambda expected: _fault(step, expected))


def _bind_options(function, words, options) -> result.Result:
    parameters = list(inspect.signature(function).parameters.values())[1:]
    whole = len(parameters) == 1 and inspect.isclass(parameters[0].annotation)
    whole = whole and issubclass(parameters[0].annotation, base.Settings)
    model = parameters[0].annotation if whole else _model_of(parameters)
    names = list(model.model_fields)
    if len(words) > len(names):
        return result.Err(f"no word {words[len(names)]}")
    named = dict(zip(names, words, strict=False))
    try:
        checked = model.model_validate({**options, **named})
    except pydantic.ValidationError as error:
        rows = [
            f"{'.'.join(map(str, row['loc']))}: {row['msg']}"
            for row in error.errors()
        ]
        return result.Err("; ".join(rows))
    if whole:
        return result.Ok(functools.partial(function, options=checked))
    return result.Ok(functools.partial(function, **checked.model_dump()))


def _model_of(parameters: list[inspect.Parameter]) -> type[pydantic.BaseModel]:
    """Model that checks options against the parameters of a function."""
    fields = {
        p.name: (p.annotation, ... if p.default is p.empty else p.default)
        for p in parameters
    }
    return pydantic.create_model("Options", __base__=base.Settings, **fields)


def _fault(step: language.Step, expected: str) -> errors.Fault:
    return errors.Fault("$", step.line, expected)
