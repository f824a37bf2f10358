package org.corianderweir.daemon.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.configuration.DocumentReference;
import org.corianderweir.model.configuration.PastRevision;
import org.corianderweir.protocol.Json;

/**
 * Deletes the documents of the revision that a change pushes out of the history. The versions are
 * read before the change is accepted: whoever bases a later change on it writes the documents that
 * it needs again, and their new versions keep them.
 */
final class ConfigurationGarbageCollector {
  private final ConfigurationStore store;

  ConfigurationGarbageCollector(ConfigurationStore store) {
    this.store = store;
  }

  /** Returns the versions of the documents that will be garbage after a change. */
  CompletableFuture<Map<String, Long>> candidates(
      ConfigurationIndex before, ConfigurationIndex after) {
    if (before.history().size() < ConfigurationIndex.HISTORY_LENGTH) {
      return CompletableFuture.completedFuture(Map.of());
    }
    String dropped = before.history().getLast().indexHash();
    List<CompletableFuture<ConfigurationIndex>> kept =
        after.history().stream().map(PastRevision::indexHash).map(this::readIndex).toList();
    return readIndex(dropped)
        .thenCombine(
            joinAll(kept),
            (old, retained) -> {
              Set<String> hashes = hashes(old);
              hashes.add(dropped);
              hashes.removeAll(hashes(after));
              retained.forEach(index -> hashes.removeAll(hashes(index)));
              return hashes;
            })
        .thenCompose(this::readVersions)
        .exceptionally(unreadable -> Map.of());
  }

  /** Deletes documents; one that fails or was written again stays. */
  void delete(Map<String, Long> versions) {
    versions.forEach(
        (hash, version) -> {
          if (version > 0) {
            store.deleteDocument(hash, version).exceptionally(failure -> null);
          }
        });
  }

  private CompletableFuture<ConfigurationIndex> readIndex(String hash) {
    return store.readDocument(hash).thenApply(text -> Json.read(text, ConfigurationIndex.class));
  }

  private CompletableFuture<Map<String, Long>> readVersions(Set<String> hashes) {
    Map<String, CompletableFuture<Long>> reads = new HashMap<>();
    hashes.forEach(hash -> reads.put(hash, store.documentVersion(hash)));
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              Map<String, Long> versions = new HashMap<>();
              reads.forEach((hash, read) -> versions.put(hash, read.join()));
              return versions;
            });
  }

  private static Set<String> hashes(ConfigurationIndex index) {
    Set<String> hashes = new HashSet<>();
    index.documents().stream().map(DocumentReference::hash).forEach(hashes::add);
    return hashes;
  }

  private static <T> CompletableFuture<List<T>> joinAll(List<CompletableFuture<T>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new))
        .thenApply(done -> futures.stream().map(CompletableFuture::join).toList());
  }
}
