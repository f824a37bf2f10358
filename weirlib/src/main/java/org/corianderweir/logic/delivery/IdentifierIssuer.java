package org.corianderweir.logic.delivery;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Issues request identifiers of one incarnation and verifies them. Only the issuer verifies them,
 * so the secret need not be shared with other processes. Thread-safe.
 */
public final class IdentifierIssuer {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int AUTHENTICATION_CODE_BYTES = 16;

  private final String instance;
  private final long incarnation;
  private final SecretKeySpec secret;
  private final Duration lifetime;
  private final long startNanoseconds;
  private final AtomicLong lastNumber = new AtomicLong();

  /**
   * Creates an issuer.
   *
   * @param secret random bytes that no other process knows
   * @param lifetime how long an identifier may be used
   * @param startNanoseconds monotonic time that the expiry of identifiers counts from
   */
  public IdentifierIssuer(
      String instance, long incarnation, byte[] secret, Duration lifetime, long startNanoseconds) {
    this.instance = instance;
    this.incarnation = incarnation;
    this.secret = new SecretKeySpec(secret, ALGORITHM);
    this.lifetime = lifetime;
    this.startNanoseconds = startNanoseconds;
  }

  /** Issues a new identifier. */
  public RequestIdentifier issue(long nowNanoseconds) {
    long expires = elapsedMilliseconds(nowNanoseconds) + lifetime.toMillis();
    RequestIdentifier unsigned =
        new RequestIdentifier(instance, incarnation, lastNumber.incrementAndGet(), expires, "");
    return new RequestIdentifier(
        instance, incarnation, unsigned.number(), expires, authenticationCode(unsigned));
  }

  /** Verifies an identifier and decides which process may let its request run. */
  public IdentifierDecision verify(RequestIdentifier identifier, long nowNanoseconds) {
    if (!identifier.instance().equals(instance) || identifier.incarnation() != incarnation) {
      return new IdentifierDecision.Foreign();
    }
    byte[] expected = authenticationCode(identifier).getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(
        expected, identifier.authenticationCode().getBytes(StandardCharsets.UTF_8))) {
      return new IdentifierDecision.Forged();
    }
    return elapsedMilliseconds(nowNanoseconds) < identifier.expiresMilliseconds()
        ? new IdentifierDecision.Own()
        : new IdentifierDecision.Expired();
  }

  /**
   * Returns the milliseconds from the issuer's start to a monotonic time, the scale of the
   * identifiers' expiry.
   */
  public long elapsedMilliseconds(long nowNanoseconds) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - startNanoseconds);
  }

  private String authenticationCode(RequestIdentifier identifier) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      byte[] whole = mac.doFinal(identifier.signedText().getBytes(StandardCharsets.UTF_8));
      byte[] shortened = Arrays.copyOf(whole, AUTHENTICATION_CODE_BYTES);
      return Base64.getUrlEncoder().withoutPadding().encodeToString(shortened);
    } catch (GeneralSecurityException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
