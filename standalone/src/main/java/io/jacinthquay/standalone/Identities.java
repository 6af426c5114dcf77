package io.jacinthquay.standalone;

import io.jacinthquay.runtime.tls.PeerName;
import io.jacinthquay.runtime.tls.TlsAuthority;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** Identities of the parts of one process, issued anew at each start. */
final class Identities {
  private final TlsAuthority authority = TlsAuthority.create();
  private final Path folder;

  Identities(Path folder) {
    this.folder = folder;
  }

  /**
   * Issues an identity and returns its folder.
   *
   * @throws UncheckedIOException if the files cannot be written
   */
  Path folder(PeerName peer) {
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
  TlsIdentity identity(PeerName peer) {
    try {
      return TlsIdentity.load(folder(peer));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
