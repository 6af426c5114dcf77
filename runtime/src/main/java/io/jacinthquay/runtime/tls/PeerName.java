package io.jacinthquay.runtime.tls;

import java.security.cert.X509Certificate;
import java.util.Objects;
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;

/**
 * The authenticated name of a peer.
 *
 * @param name the common name, such as the VM's name
 * @param role what the peer may do
 */
public record PeerName(String name, PeerRole role) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public PeerName {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
  }

  /** Returns the name that a certificate carries, or nothing if it carries no role. */
  public static Optional<PeerName> of(X509Certificate certificate) {
    String subject = certificate.getSubjectX500Principal().getName();
    Optional<PeerRole> role = attribute(subject, "OU").flatMap(PeerRole::of);
    Optional<String> name = attribute(subject, "CN");
    return role.flatMap(r -> name.map(n -> new PeerName(n, r)));
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
