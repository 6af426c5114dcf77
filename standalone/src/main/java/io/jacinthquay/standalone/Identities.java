package io.jacinthquay.standalone;

import io.jacinthquay.runtime.tls.PeerName;
import io.jacinthquay.runtime.tls.PeerRole;
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
  Path folder(PeerRole role) {
    Path own = folder.resolve(role.text());
    try {
      authority.issue(new PeerName("standalone-" + role.text(), role), own);
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
  TlsIdentity identity(PeerRole role) {
    try {
      return TlsIdentity.load(folder(role));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
