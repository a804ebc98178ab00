"""Small self-signed certificates for the HTTPS endpoints."""

from __future__ import annotations

import datetime
import ipaddress
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LIFETIME_DAYS = 825


class Certificate(NamedTuple):
    """A certificate and its private key.

    Attributes:
        certificate: PEM text.
        key: PEM text of the private key.
    """

    certificate: str
    key: str


def new_certificate(
    name: str,
    ips: tuple[str, ...],
    now: datetime.datetime,
    lifetime_days: int = LIFETIME_DAYS,
) -> Certificate:
    """Return a self-signed certificate for some IPv4 numbers.

    Args:
        name: Common name, such as the VM's.
        ips: The numbers the endpoint is reached by.
        now: Wall-clock time from which it is valid.
        lifetime_days: Days it is valid.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    addresses = [x509.IPAddress(ipaddress.ip_address(ip)) for ip in ips]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now)
        .not_valid_after(now + datetime.timedelta(days=lifetime_days))
        .add_extension(x509.SubjectAlternativeName(addresses), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    key_text = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    return Certificate(pem.decode(), key_text.decode())
