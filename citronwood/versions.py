"""Versions of the objects in the platform's store, across its restores from a copy.

Revisions of the store go back with each restore and are then given out again. The store
counts its restores; that count is its *generation*. A version is one number with the
generation before the revision, so versions never go back, and equal revisions of two
generations are different versions.
"""

REVISIONS_PER_GENERATION = 10**12
# Versions of later generations do not fit into the 63 bits of messages between VMs.
# Those of the first 9,006 are below 2**53, which all implementations of JSON keep.
MAX_GENERATION = 2**63 // REVISIONS_PER_GENERATION - 1


def make_version(generation: int, revision: int) -> int:
    """Return a version; revision 0 stands for an object that does not exist."""
    return generation * REVISIONS_PER_GENERATION + revision


def generation_of(version: int) -> int:
    """Return the generation of the store in which a version was given out."""
    return version // REVISIONS_PER_GENERATION


def revision_of(version: int) -> int:
    """Return the revision of a version, as the store knows it."""
    return version % REVISIONS_PER_GENERATION


def number_after(version: int) -> int:
    """Return the number for what is begun by the update that replaces a version.

    At most one update replaces a version, and each of its kind in a later generation
    has a higher number. A number that is counted up from a stored one would be given
    out again after a restore.
    """
    return version + 1
