package io.jacinthquay.runtime.tls;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Base64;
import java.util.Date;
import java.util.EnumSet;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.cert.CertIOException;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * A certificate authority that issues identities for trials and for {@code jq-standalone}.
 *
 * <pre>{@code
 * CertificateAuthority authority = CertificateAuthority.create();
 * authority.issue(new PeerIdentity("entry-1", PeerRole.ROUTER), folder);
 * }</pre>
 *
 * <p>The private key of the authority is kept in memory only and is lost when the process ends.
 */
public final class CertificateAuthority {
  private static final long VALID_DAYS = 365;
  private static final int SERIAL_BITS = 120;

  private final SecureRandom random = new SecureRandom();
  private final KeyPair keys;
  private final X500Name name;
  private final X509Certificate certificate;

  private CertificateAuthority() throws GeneralSecurityException, IOException {
    keys = newKeys();
    name = new X500Name("CN=jacinthquay authority");
    certificate = sign(name, keys, true);
  }

  /**
   * Creates an authority with a new key.
   *
   * @throws IllegalStateException if the Java runtime lacks an algorithm
   */
  public static CertificateAuthority create() {
    try {
      return new CertificateAuthority();
    } catch (GeneralSecurityException | IOException e) {
      throw new IllegalStateException("cannot create a certificate authority", e);
    }
  }

  /**
   * Writes a new identity to a folder, which is created if missing.
   *
   * @param peer the name and role in the certificate
   * @param folder the folder for the three PEM files
   * @throws IOException if a file cannot be written
   */
  public void issue(PeerIdentity peer, Path folder) throws IOException {
    try {
      KeyPair subjectKeys = newKeys();
      X500Name subject = new X500Name("CN=" + peer.name() + ",OU=" + peer.role().text());
      X509Certificate leaf = sign(subject, subjectKeys, false);
      Files.createDirectories(folder);
      write(folder.resolve(TlsIdentity.CA_FILE), "CERTIFICATE", certificate.getEncoded());
      write(folder.resolve(TlsIdentity.CERTIFICATE_FILE), "CERTIFICATE", leaf.getEncoded());
      write(
          folder.resolve(TlsIdentity.KEY_FILE),
          "PRIVATE KEY",
          subjectKeys.getPrivate().getEncoded());
    } catch (GeneralSecurityException e) {
      throw new IOException("cannot create an identity for " + peer.name(), e);
    }
  }

  private static KeyPair newKeys() throws GeneralSecurityException {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
    generator.initialize(new ECGenParameterSpec("secp256r1"));
    return generator.generateKeyPair();
  }

  private X509Certificate sign(X500Name subject, KeyPair subjectKeys, boolean isAuthority)
      throws GeneralSecurityException, CertIOException {
    Instant now = Instant.now();
    X509v3CertificateBuilder builder =
        new JcaX509v3CertificateBuilder(
            name,
            new BigInteger(SERIAL_BITS, random),
            Date.from(now.minus(1, ChronoUnit.DAYS)),
            Date.from(now.plus(VALID_DAYS, ChronoUnit.DAYS)),
            subject,
            subjectKeys.getPublic());
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(isAuthority));
    return new JcaX509CertificateConverter().getCertificate(builder.build(signer(keys)));
  }

  private static org.bouncycastle.operator.ContentSigner signer(KeyPair keys)
      throws GeneralSecurityException {
    try {
      PrivateKey key = keys.getPrivate();
      return new JcaContentSignerBuilder("SHA256withECDSA").build(key);
    } catch (OperatorCreationException e) {
      throw new GeneralSecurityException(e);
    }
  }

  private static void write(Path file, String type, byte[] der) throws IOException {
    String base64 = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der);
    String pem = "-----BEGIN " + type + "-----\n" + base64 + "\n-----END " + type + "-----\n";
    Files.writeString(file, pem);
    Set<PosixFilePermission> ownerOnly =
        EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);
    Files.setPosixFilePermissions(file, ownerOnly);
  }
}
