"""Tests of goldcresthoist.operations."""
