"""Tests of goldcresthoist.operators."""
