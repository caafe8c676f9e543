"""Property test of questionnaires with an arbitrary value in place of an answer."""

import copy
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from goldcresthoist.config import InvalidAnswer, Questionnaire, generate
from goldcresthoist.config.tests.test_questionnaire import VALID

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8) | st.integers(), inner, max_size=3)
    ),
    max_leaves=6,
)


def answer_paths(value, path=()):
    """Return the paths of all answers in a document."""
    paths = [path] if path else []
    if isinstance(value, dict):
        for key, item in value.items():
            paths += answer_paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            paths += answer_paths(item, (*path, index))
    return paths


class QuestionnaireFuzzTest(unittest.TestCase):
    """Guards against answers that cause a traceback or an invalid configuration."""

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(path=st.sampled_from(answer_paths(VALID)), value=VALUES)
    def test_any_value_is_accepted_or_reported(self, path, value):
        document = copy.deepcopy(VALID)
        parent = document
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = value
        try:
            team = generate(Questionnaire.from_document(document, "t.yaml"))
        except InvalidAnswer as exc:
            self.assertRegex(str(exc), r"\At\.yaml: answer [^\n]{1,1000}\Z")
            return
        for service in team.services:
            self.assertGreaterEqual(service.slots, 1)
            self.assertLess(service.short_slots, service.slots)
            for work in service.work:
                self.assertLessEqual(work.usual_s, work.longest_s)
