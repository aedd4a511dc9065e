"""Classification of statements, and literals in their text."""

from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronwood.backend.api import StatementKind
from citronwood.mysql.lexical import tokenize, unquote
from citronwood.mysql.literals import literal
from citronwood.mysql.local import hex_encode_binary_strings
from citronwood.mysql.parameters import PreparedStatement
from citronwood.mysql.statement import _analyse, _normalize, classify

READ, WRITE = StatementKind.READ, StatementKind.WRITE


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("SELECT id FROM t WHERE name = 'FOR UPDATE'", READ),
        ("/* UPDATE */ select 1 -- DELETE", READ),
        ("# INSERT\nSELECT 1", READ),
        ("((SELECT 1) UNION (SELECT 2))", READ),
        ("SELECT `update` FROM `delete`", READ),
        ("SELECT COUNT(*), REPLACE(a, 'x', 'y') FROM t WHERE a IN (1, 2)", READ),
        ("WITH a AS (SELECT 1 AS x) SELECT * FROM a", READ),
        ("WITH a AS (SELECT id FROM t) UPDATE t SET x = 1", WRITE),
        ("WITH a AS (SELECT id FROM t) DELETE FROM t", WRITE),
        ("WITH RECURSIVE a AS (SELECT 1 UNION ALL SELECT 2) SELECT 3", READ),
        ("SELECT id FROM t FOR UPDATE", WRITE),
        ("SELECT id FROM t FOR SHARE", WRITE),
        ("SELECT id FROM t LOCK IN SHARE MODE", WRITE),
        ("SELECT id INTO OUTFILE 'x' FROM t", WRITE),
        # A function that is not built in may be a stored function that writes.
        ("SELECT store_it(1)", WRITE),
        ("SELECT `db`.`store_it`(1)", WRITE),
        ("SELECT * FROM t ORDER BY (SELECT NEXTVAL(s))", WRITE),
        ("EXPLAIN SELECT 1", READ),
        ("EXPLAIN UPDATE t SET a = 1", WRITE),
        ("TABLE t", READ),
        ("VALUES ROW(1), ROW(2)", READ),
        ("SHOW TABLES", READ),
        ("DESCRIBE t", READ),
        ("REPLACE INTO t VALUES (1)", WRITE),
        ("DO 1", WRITE),
        ("BEGIN", StatementKind.BEGIN),
        ("start transaction read only", StatementKind.BEGIN),
        ("COMMIT", StatementKind.COMMIT),
        ("ROLLBACK", StatementKind.ROLLBACK),
        ("ROLLBACK TO SAVEPOINT a", WRITE),
        ("SET a = 1", StatementKind.OTHER),
        ("", StatementKind.OTHER),
    ],
)
def test_kind(sql, kind):
    assert classify(sql).kind is kind


def test_statements_that_differ_in_values_share_one_analysis():
    _analyse.cache_clear()
    for index in range(100):
        # The digit in the name a1 is not a literal.
        classify(f"SELECT a{1} FROM t WHERE id = {index} AND b = 'x{index}'")
        classify(f"SELECT 1 FROM t WHERE id IN ({', '.join('7' * (index + 1))})")
        values = ", ".join(["(1, 'a')"] * (index + 1))
        classify(f"INSERT INTO t (a, b) VALUES {values}")
    # Each of the three statements has one normalized text; two more are tolerated.
    assert _analyse.cache_info().currsize <= 5


@pytest.mark.parametrize(
    ("sql", "refused"),
    [
        ("SELECT 1;", False),
        ("SELECT ';'", False),
        ("SELECT 1; SELECT 2", True),
        # A quote after a backslash does not end the literal.
        (r"SELECT 'a\'; DELETE FROM t; -- '", False),
        (r"SELECT 'a\\'; DELETE FROM t", True),
        ("SELECT 'a''; b'", False),
        ('SELECT "a\\"; b"', False),
        ("SELECT 1 -- ; x\n", False),
        # MySQL reads two dashes without a space as two minus signs.
        ("SELECT 1--1; DELETE FROM t", True),
        ("SELECT 1 /* ; */", False),
    ],
)
def test_only_one_statement_at_a_time(sql, refused):
    assert (classify(sql).refusal is not None) is refused


@pytest.mark.timeout(5)
@pytest.mark.parametrize("piece", ["'\\", "'", '"\\', "`", "/*", "?,", "(?),", "0"])
def test_long_malicious_text_takes_linear_time(piece):
    text = "SELECT " + piece * (500_000 // len(piece))
    _normalize(text)
    # More than MAX_PARAMETERS placeholders would be refused.
    PreparedStatement(text[:100_000])
    hex_encode_binary_strings(text)


@given(st.text() | st.binary())
def test_literal_has_the_value_it_was_made_from(value):
    text = literal(value)
    (token, *more) = tokenize(text)
    if isinstance(value, bytes):
        assert [token.text, bytes.fromhex(more[0].text)] == ["x", value]
    else:
        assert (token.kind, token.text, more) == ("string", value, [])


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (None, "NULL"),
        (-5, " -5"),
        (Decimal("1E+3"), "1000"),
        (Decimal("-0.0000001"), " -0.0000001"),
        # A short parameter must not expand to a million digits.
        (Decimal("1E+999999"), "1E+999999"),
        (1.5, "1.5e0"),
        (1e300, "1e+300"),
    ],
)
def test_literal_of_number(value, text):
    assert literal(value) == text


def test_escapes_are_decoded():
    assert unquote(r"'a\n\\\'''\%\Z'") == "a\n\\''%\x1a"
