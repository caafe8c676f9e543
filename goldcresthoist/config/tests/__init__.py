"""Tests of goldcresthoist.config."""
