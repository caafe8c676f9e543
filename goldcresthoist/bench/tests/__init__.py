"""Tests of goldcresthoist.bench."""
