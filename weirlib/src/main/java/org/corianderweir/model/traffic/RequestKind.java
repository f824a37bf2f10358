package org.corianderweir.model.traffic;

/** What the requests of a route do at a server, and so how often they may run. */
public sealed interface RequestKind {
  /** The only safe kind. */
  RequestKind SAFE = new Safe();

  /** The only unsafe kind. */
  RequestKind UNSAFE = new Unsafe();

  /** The only upload kind. */
  RequestKind UPLOAD = new Upload();

  /** The only download kind. */
  RequestKind DOWNLOAD = new Download();

  /** Reads something; may run more than once. */
  record Safe() implements RequestKind {}

  /** Changes something; runs at most once. */
  record Unsafe() implements RequestKind {}

  /** Changes something and has a large request body; runs at most once. */
  record Upload() implements RequestKind {}

  /** Reads something and has a large response body; may run more than once. */
  record Download() implements RequestKind {}

  /**
   * A kind that this version does not know; runs at most once, since nothing is known of it.
   *
   * @param word the word of the configuration
   */
  record Unknown(String word) implements RequestKind {}

  /** Returns the kind for a word of the configuration. */
  static RequestKind of(String word) {
    return switch (word) {
      case "safe" -> SAFE;
      case "unsafe" -> UNSAFE;
      case "upload" -> UPLOAD;
      case "download" -> DOWNLOAD;
      default -> new Unknown(word);
    };
  }

  /** Returns whether requests may run more than once. */
  default boolean mayRunAgain() {
    return switch (this) {
      case Safe unused -> true;
      case Download unused -> true;
      case Unsafe unused -> false;
      case Upload unused -> false;
      case Unknown unused -> false;
    };
  }

  /** Returns whether requests or responses are large, so that requests differ much in cost. */
  default boolean isLarge() {
    return switch (this) {
      case Upload unused -> true;
      case Download unused -> true;
      case Safe unused -> false;
      case Unsafe unused -> false;
      case Unknown unused -> false;
    };
  }

  /** Returns the word of the configuration, for the log. */
  default String label() {
    return switch (this) {
      case Safe unused -> "safe";
      case Download unused -> "download";
      case Unsafe unused -> "unsafe";
      case Upload unused -> "upload";
      case Unknown unknown -> unknown.word();
    };
  }
}
