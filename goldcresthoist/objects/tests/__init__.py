"""Tests of goldcresthoist.objects."""
