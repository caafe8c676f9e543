"""Tests of goldcresthoist.links."""
