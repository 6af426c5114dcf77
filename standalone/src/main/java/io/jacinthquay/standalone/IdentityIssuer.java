package io.jacinthquay.standalone;

import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Issues the TLS identities of the components; each start creates a new authority. */
final class IdentityIssuer {
  private final CertificateAuthority authority = CertificateAuthority.create();
  private final Path folder;

  IdentityIssuer(Path folder) {
    this.folder = folder;
  }

  /**
   * Issues an identity and returns the folder with its files.
   *
   * @throws UncheckedIOException if the files cannot be written
   */
  Path issueFiles(PeerIdentity peer) {
    Path peerFolder = folder.resolve(peer.name());
    try {
      authority.issue(peer, peerFolder);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return peerFolder;
  }

  /**
   * Issues an identity and loads it.
   *
   * @throws UncheckedIOException if the files cannot be written
   */
  TlsIdentity issue(PeerIdentity peer) {
    try {
      return TlsIdentity.load(issueFiles(peer));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
