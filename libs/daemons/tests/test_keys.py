from __future__ import annotations

import datetime

import pytest
from cryptography import x509

from kumquatmux_daemons.keys.certificates import new_certificate
from kumquatmux_daemons.keys.curve import (
    new_curve_pair,
    read_curve_pair,
    write_curve_pair,
)
from kumquatmux_daemons.keys.tokens import (
    Access,
    find_operator,
    hash_token,
    new_token,
    read_operators,
)


def test_a_secret_key_file_is_private_and_never_replaced(tmp_path):
    path = tmp_path / "node.secret"
    pair = new_curve_pair()
    assert write_curve_pair(pair, path).is_ok()
    assert path.stat().st_mode & 0o777 == 0o600
    assert read_curve_pair(path).ok == pair
    assert write_curve_pair(new_curve_pair(), path).error.code == "file-exists"
    assert read_curve_pair(path).ok == pair


@pytest.mark.parametrize(
    "content, code", [("short", "key-malformed"), (None, "file-unreadable")]
)
def test_a_bad_secret_key_file_is_named(tmp_path, content, code):
    path = tmp_path / "node.secret"
    if content is not None:
        path.write_text(content)
    assert read_curve_pair(path).error.code == code


def test_a_certificate_is_valid_for_its_ip_numbers():
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    made = new_certificate("cnx-a-1", ("10.0.0.1", "10.0.0.2"), now, 30)
    parsed = x509.load_pem_x509_certificate(made.certificate.encode())
    names = parsed.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    ips = names.value.get_values_for_type(x509.IPAddress)
    assert [str(ip) for ip in ips] == ["10.0.0.1", "10.0.0.2"]
    assert parsed.not_valid_after_utc - now == datetime.timedelta(days=30)


def tokens(tmp_path, text):
    path = tmp_path / "tokens.toml"
    path.write_text(text)
    return read_operators(path)


def test_an_operator_is_found_by_token(tmp_path):
    token = new_token()
    text = f"""[[tokens]]
operator = "nok"
access = "change"
sha256 = "{hash_token(token)}"
"""
    operators = tokens(tmp_path, text).ok
    assert find_operator(operators, token).access is Access.CHANGE
    assert find_operator(operators, token + "x") is None


@pytest.mark.parametrize(
    "text, code",
    [
        ("", "missing"),
        ("tokens = 3", "missing"),
        ("tokens = [3]", "value"),
        ("[[tokens]]\noperator = 'nok'\naccess = 'all'", "value"),
        ("[[tokens]]\noperator = 'nok'\naccess = 'read'\nsha256 = 'x'", "value"),
        ("[[tokens", "toml"),
    ],
)
def test_a_bad_token_file_is_refused(tmp_path, text, code):
    assert tokens(tmp_path, text).error.code == code
