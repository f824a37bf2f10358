package org.corianderweir.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.configuration.DocumentReference;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.corianderweir.protocol.Json;

/**
 * Reads and writes the configuration in the platform service: documents that are addressed by the
 * hash of their content, and a head that names the index document in force. Thread-safe.
 */
public final class ConfigurationStore {
  /** Key of the head in the platform service. */
  public static final String HEAD_KEY = "configuration/head";

  private static final String DOCUMENT_PREFIX = "configuration/documents/";
  private static final int PUT_DOCUMENT_ATTEMPTS = 4;

  private final PlatformService platform;

  /** Creates a store on the given platform service. */
  public ConfigurationStore(PlatformService platform) {
    this.platform = platform;
  }

  /**
   * The head and the version of its key.
   *
   * @param version version of the key; zero if there is no head
   * @param head the head; empty if none has been written yet
   */
  public record VersionedHead(long version, Optional<ConfigurationHead> head) {}

  /** Reads the head and the version of its key. */
  public CompletableFuture<VersionedHead> readHead() {
    return platform
        .read(HEAD_KEY)
        .thenApply(
            stored ->
                new VersionedHead(
                    stored.map(StoredValue::version).orElse(0L),
                    stored.map(value -> Json.read(value.value(), ConfigurationHead.class))));
  }

  /** Replaces the head if its key still has the expected version. */
  CompletableFuture<WriteResult> writeHead(long expectedVersion, ConfigurationHead head) {
    return platform.compareAndSwap(HEAD_KEY, expectedVersion, Json.write(head));
  }

  /**
   * Loads the configuration that a head names.
   *
   * @param cachedTexts returns the text of a document that need not be read, by its hash
   */
  public CompletableFuture<ConfigurationBundle> load(
      ConfigurationHead head, Function<String, Optional<String>> cachedTexts) {
    return readDocument(head.indexHash())
        .thenCompose(
            indexText -> {
              ConfigurationIndex index = ConfigurationDocuments.readIndex(head, indexText);
              return loadTexts(index, cachedTexts)
                  .thenApply(texts -> new ConfigurationBundle(head, index, indexText, texts));
            });
  }

  /**
   * Reads the document with a hash; the future fails with {@code CONFIGURATION_INVALID} if there is
   * none.
   */
  CompletableFuture<String> readDocument(String hash) {
    return platform
        .read(DOCUMENT_PREFIX + hash)
        .thenApply(
            stored ->
                stored
                    .map(StoredValue::value)
                    .orElseThrow(
                        () ->
                            new WeirException(
                                ErrorCode.CONFIGURATION_INVALID, "no document " + hash)));
  }

  /**
   * Writes a document. A document that exists already is written again, because its new version
   * prevents a concurrent garbage collection from deleting it.
   *
   * @return the new version
   */
  CompletableFuture<Long> putDocument(String hash, String text) {
    return put(DOCUMENT_PREFIX + hash, 0, text, PUT_DOCUMENT_ATTEMPTS);
  }

  /** Returns the version of a document, or zero if there is none. */
  CompletableFuture<Long> documentVersion(String hash) {
    return platform
        .read(DOCUMENT_PREFIX + hash)
        .thenApply(stored -> stored.map(StoredValue::version).orElse(0L));
  }

  /** Deletes a document if it still has the given version. */
  CompletableFuture<WriteResult> deleteDocument(String hash, long version) {
    return platform.delete(DOCUMENT_PREFIX + hash, version);
  }

  private CompletableFuture<Long> put(String key, long version, String text, int attempts) {
    return platform
        .compareAndSwap(key, version, text)
        .thenCompose(
            result ->
                switch (result) {
                  case WriteResult.Written written ->
                      CompletableFuture.completedFuture(written.version());
                  case WriteResult.Conflict conflict ->
                      attempts > 1
                          ? put(key, conflict.currentVersion(), text, attempts - 1)
                          : CompletableFuture.failedFuture(
                              new WeirException(
                                  ErrorCode.PLATFORM_UNAVAILABLE, "can't write " + key));
                });
  }

  private CompletableFuture<Map<String, String>> loadTexts(
      ConfigurationIndex index, Function<String, Optional<String>> cachedTexts) {
    Map<String, String> texts = new HashMap<>();
    List<CompletableFuture<Void>> reads = new ArrayList<>();
    for (DocumentReference reference : index.documents()) {
      Optional<String> text = cachedTexts.apply(reference.hash());
      if (text.isPresent()) {
        texts.put(reference.hash(), text.get());
      } else {
        reads.add(
            readDocument(reference.hash())
                .thenAccept(
                    read -> {
                      synchronized (texts) {
                        texts.put(reference.hash(), read);
                      }
                    }));
      }
    }
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(
            unused -> {
              synchronized (texts) {
                return Map.copyOf(texts);
              }
            });
  }
}
