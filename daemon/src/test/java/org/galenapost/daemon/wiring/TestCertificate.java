package org.galenapost.daemon.wiring;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Date;
import javax.security.auth.x500.X500Principal;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A self-signed certificate with its private key. */
record TestCertificate(X509Certificate certificate, PrivateKey key) {

  private static final int KEY_BITS = 2048;

  static TestCertificate of(String name)
      throws GeneralSecurityException, OperatorCreationException {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("RSA");
    generator.initialize(KEY_BITS);
    KeyPair pair = generator.generateKeyPair();
    X500Principal subject = new X500Principal("CN=" + name);
    Instant now = Instant.now();
    JcaX509v3CertificateBuilder builder =
        new JcaX509v3CertificateBuilder(
            subject,
            BigInteger.ONE,
            Date.from(now.minus(1, ChronoUnit.DAYS)),
            Date.from(now.plus(1, ChronoUnit.DAYS)),
            subject,
            pair.getPublic());
    X509Certificate certificate =
        new JcaX509CertificateConverter()
            .getCertificate(
                builder.build(
                    new JcaContentSignerBuilder("SHA256withRSA").build(pair.getPrivate())));
    return new TestCertificate(certificate, pair.getPrivate());
  }

  void write(Path certificateFile, Path keyFile) throws IOException {
    Files.writeString(keyFile, pem(new JcaPKCS8Generator(key, null)));
    Files.writeString(certificateFile, pem(certificate));
  }

  private static String pem(Object content) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      writer.writeObject(content);
    }
    return text.toString();
  }
}
