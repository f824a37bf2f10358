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
 * Deletes the documents of the revision that a change drops from the history. The versions of these
 * documents are read before the change is accepted, and only those versions are deleted. A later
 * change that needs one of the documents writes it again; the document then has a newer version and
 * is kept.
 */
final class ConfigurationGarbageCollector {
  private final ConfigurationStore store;

  ConfigurationGarbageCollector(ConfigurationStore store) {
    this.store = store;
  }

  /**
   * Returns the documents that no revision of the history uses once a change is accepted, as
   * versions by hash. The result is empty if a document can't be read.
   */
  CompletableFuture<Map<String, Long>> findObsoleteVersions(
      ConfigurationIndex before, ConfigurationIndex after) {
    if (before.history().size() < ConfigurationIndex.HISTORY_LENGTH) {
      return CompletableFuture.completedFuture(Map.of());
    }
    String droppedHash = before.history().getLast().indexHash();
    List<CompletableFuture<ConfigurationIndex>> retainedReads =
        after.history().stream().map(PastRevision::indexHash).map(this::readIndex).toList();
    return readIndex(droppedHash)
        .thenCombine(
            joinAll(retainedReads),
            (dropped, retained) -> {
              Set<String> hashes = hashes(dropped);
              hashes.add(droppedHash);
              hashes.removeAll(hashes(after));
              retained.forEach(index -> hashes.removeAll(hashes(index)));
              return hashes;
            })
        .thenCompose(this::readVersions)
        .exceptionally(unreadable -> Map.of());
  }

  /**
   * Deletes documents, given as versions by hash. A document that was written again since is kept.
   */
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
            unused -> {
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
        .thenApply(unused -> futures.stream().map(CompletableFuture::join).toList());
  }
}
