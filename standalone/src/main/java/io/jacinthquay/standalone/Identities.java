package io.jacinthquay.standalone;

import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Identities of the parts of one process, issued anew at each start. */
final class Identities {
  private final CertificateAuthority authority = CertificateAuthority.create();
  private final Path folder;

  Identities(Path folder) {
    this.folder = folder;
  }

  /**
   * Issues an identity and returns its folder.
   *
   * @throws UncheckedIOException if the files cannot be written
   */
  Path folder(PeerIdentity peer) {
    Path own = folder.resolve(peer.name());
    try {
      authority.issue(peer, own);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return own;
  }

  /**
   * Issues an identity.
   *
   * @throws UncheckedIOException if the files cannot be written
   */
  TlsIdentity identity(PeerIdentity peer) {
    try {
      return TlsIdentity.load(folder(peer));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
