"""Tests of goldcresthoist.balance."""
