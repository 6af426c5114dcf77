package io.jacinthquay.runtime.tls;

import java.security.cert.X509Certificate;
import java.util.Objects;
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;

/**
 * The authenticated identity of a peer: its name and its role.
 *
 * @param name the common name of its certificate, such as the name of the VM
 * @param role the role of the peer, which determines its permissions
 */
public record PeerIdentity(String name, PeerRole role) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public PeerIdentity {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
  }

  /** Returns the identity in a certificate, or empty if it has no common name or no role. */
  public static Optional<PeerIdentity> of(X509Certificate certificate) {
    String subject = certificate.getSubjectX500Principal().getName();
    Optional<PeerRole> role = attribute(subject, "OU").flatMap(PeerRole::of);
    Optional<String> name = attribute(subject, "CN");
    return role.flatMap(r -> name.map(n -> new PeerIdentity(n, r)));
  }

  private static Optional<String> attribute(String subject, String type) {
    try {
      return new LdapName(subject)
          .getRdns().stream()
              .filter(rdn -> rdn.getType().equalsIgnoreCase(type))
              .map(Rdn::getValue)
              .map(Object::toString)
              .findFirst();
    } catch (InvalidNameException e) {
      return Optional.empty();
    }
  }
}
