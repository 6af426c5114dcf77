package io.jacinthquay.runtime.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/**
 * The certificate, private key and trusted certificate authority of a process.
 *
 * <pre>{@code
 * SSLContext context = TlsIdentity.load(folder).context();
 * }</pre>
 *
 * <p>The folder contains {@code ca.pem}, {@code cert.pem} and {@code key.pem}; the key is an
 * elliptic curve key in PKCS #8 format.
 */
public final class TlsIdentity {
  /** File name of the trusted certificate authority's certificate. */
  public static final String CA_FILE = "ca.pem";

  /** File name of the process's certificate. */
  public static final String CERTIFICATE_FILE = "cert.pem";

  /** File name of the process's private key. */
  public static final String KEY_FILE = "key.pem";

  private static final char[] NO_PASSWORD = new char[0];

  private final SSLContext context;

  private TlsIdentity(SSLContext context) {
    this.context = context;
  }

  /**
   * Loads an identity.
   *
   * @param folder the folder with the three PEM files
   * @throws IOException if a file is missing or malformed
   */
  public static TlsIdentity load(Path folder) throws IOException {
    try {
      Collection<? extends Certificate> authorities = certificates(folder.resolve(CA_FILE));
      Collection<? extends Certificate> chain = certificates(folder.resolve(CERTIFICATE_FILE));
      PrivateKey key = privateKey(folder.resolve(KEY_FILE));
      return new TlsIdentity(context(authorities, chain, key));
    } catch (GeneralSecurityException | IllegalArgumentException e) {
      throw new IOException("no valid TLS identity in " + folder + ": " + e.getMessage(), e);
    }
  }

  /** Returns the TLS context for sockets; servers must require the client's certificate. */
  public SSLContext context() {
    return context;
  }

  private static Collection<? extends Certificate> certificates(Path file)
      throws IOException, GeneralSecurityException {
    try (InputStream in = Files.newInputStream(file)) {
      return CertificateFactory.getInstance("X.509").generateCertificates(in);
    }
  }

  private static PrivateKey privateKey(Path file) throws IOException, GeneralSecurityException {
    String base64 = Files.readString(file).replaceAll("-----[A-Z ]+-----", "");
    byte[] der = Base64.getMimeDecoder().decode(base64);
    return KeyFactory.getInstance("EC").generatePrivate(new PKCS8EncodedKeySpec(der));
  }

  private static SSLContext context(
      Collection<? extends Certificate> authorities,
      Collection<? extends Certificate> chain,
      PrivateKey key)
      throws GeneralSecurityException, IOException {
    KeyStore ownStore = emptyStore();
    ownStore.setKeyEntry("own", key, NO_PASSWORD, chain.toArray(new Certificate[0]));
    KeyManagerFactory keyManagerFactory =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keyManagerFactory.init(ownStore, NO_PASSWORD);
    KeyStore trustStore = emptyStore();
    int number = 0;
    for (Certificate authority : authorities) {
      trustStore.setCertificateEntry("ca" + number++, authority);
    }
    TrustManagerFactory trustManagerFactory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trustManagerFactory.init(trustStore);
    SSLContext context = SSLContext.getInstance("TLSv1.3");
    context.init(keyManagerFactory.getKeyManagers(), trustManagerFactory.getTrustManagers(), null);
    return context;
  }

  private static KeyStore emptyStore() throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, NO_PASSWORD);
    return store;
  }
}
