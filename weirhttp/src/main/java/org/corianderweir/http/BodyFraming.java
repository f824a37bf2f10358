package org.corianderweir.http;

/** How the end of the body of a response is found (RFC 9112, section 6.3). */
sealed interface BodyFraming {
  /** The body has a length that the head gives; zero if there is no body. */
  record Length(long bytes) implements BodyFraming {}

  /** The body comes in chunks, the last of which is empty. */
  record Chunks() implements BodyFraming {}
}
