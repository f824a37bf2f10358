package org.corianderweir.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import net.openhft.hashing.LongHashFunction;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.configuration.ContentHash;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.configuration.DocumentReference;
import org.corianderweir.model.configuration.PastRevision;

/**
 * Splits a configuration into documents and assembles it again. Each kind of item has its own
 * documents. A long list of items is cut into chunks at boundaries that depend on the content, so
 * that a change of one item usually changes only one document (content-defined chunking, after
 * Muthitacharoen, Chen and Mazières, "A Low-bandwidth Network File System", 2001).
 */
public final class ConfigurationDocuments {
  /**
   * Largest size of a document in bytes of UTF-8. Leaves a margin to the size limit of the
   * platform's metadata store.
   */
  public static final int DOCUMENT_LIMIT_BYTES = 900_000;

  private static final int MINIMUM_CHUNK_CHARACTERS = 8 * 1024;
  private static final int MAXIMUM_CHUNK_CHARACTERS = 64 * 1024;

  /** An item may end a chunk if these bits of its hash are zero: on average one item in 64. */
  private static final long BOUNDARY_MASK = 63;

  private static final String REVISION = "revision";
  private static final String OPERATION = "operation";
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private ConfigurationDocuments() {}

  /**
   * Splits a configuration into its head, its index and its documents.
   *
   * @param configuration the configuration
   * @param change the change that created this revision
   * @param history earlier revisions, latest first
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if a document is larger than
   *     {@link #DOCUMENT_LIMIT_BYTES}
   */
  public static ConfigurationBundle split(
      Configuration configuration, AcceptedChange change, List<PastRevision> history) {
    List<DocumentReference> references = new ArrayList<>();
    Map<String, String> texts = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> field : Json.toTree(configuration).properties()) {
      for (String text : documentsOf(field.getKey(), field.getValue())) {
        String hash = ContentHash.of(text);
        references.add(new DocumentReference(field.getKey(), hash));
        texts.put(hash, requireWithinLimit(field.getKey(), text));
      }
    }
    ConfigurationIndex index = new ConfigurationIndex(change, references, history);
    String indexText = requireWithinLimit("index", Json.write(index));
    ConfigurationHead head =
        new ConfigurationHead(
            configuration.revision(), configuration.operation(), ContentHash.of(indexText));
    return new ConfigurationBundle(head, index, indexText, texts);
  }

  /**
   * Assembles a configuration from its documents.
   *
   * @param index lists the documents
   * @param textByHash returns the text of the document with a hash; this method verifies the hash
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if a document is missing or does
   *     not match its hash, or with code {@code JSON_INVALID} if a document can't be parsed
   */
  public static Configuration assemble(
      ConfigurationIndex index, Function<String, Optional<String>> textByHash) {
    ObjectNode tree = Json.emptyObject();
    tree.put(REVISION, index.change().revision());
    tree.put(OPERATION, index.change().operation());
    for (DocumentReference reference : index.documents()) {
      JsonNode content = Json.read(verifiedText(reference, textByHash), JsonNode.class);
      JsonNode existing = tree.get(reference.kind());
      if (existing instanceof ArrayNode array && content instanceof ArrayNode additional) {
        array.addAll(additional);
      } else {
        tree.set(reference.kind(), content);
      }
    }
    return Json.fromTree(tree, Configuration.class);
  }

  /**
   * Parses an index and verifies that it belongs to a head.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the index does not belong to
   *     the head, or with code {@code JSON_INVALID} if it can't be parsed
   */
  public static ConfigurationIndex readIndex(ConfigurationHead head, String indexText) {
    if (!ContentHash.of(indexText).equals(head.indexHash())) {
      throw invalid("the index does not match the hash in its head");
    }
    ConfigurationIndex index = Json.read(indexText, ConfigurationIndex.class);
    boolean sameChange =
        index.change().revision() == head.revision()
            && index.change().operation().equals(head.operation());
    if (!sameChange) {
      throw invalid("the index belongs to revision " + index.change().revision());
    }
    return index;
  }

  private static String verifiedText(
      DocumentReference reference, Function<String, Optional<String>> textByHash) {
    String content =
        textByHash
            .apply(reference.hash())
            .orElseThrow(() -> invalid("missing document " + reference.hash()));
    if (!ContentHash.of(content).equals(reference.hash())) {
      throw invalid("document " + reference.hash() + " does not match its hash");
    }
    return content;
  }

  private static List<String> documentsOf(String kind, JsonNode value) {
    if (kind.equals(REVISION) || kind.equals(OPERATION)) {
      return List.of();
    }
    return value instanceof ArrayNode array ? chunks(array) : List.of(value.toString());
  }

  private static List<String> chunks(ArrayNode array) {
    List<String> chunks = new ArrayList<>();
    StringBuilder chunk = new StringBuilder("[");
    for (JsonNode item : array) {
      String text = item.toString();
      if (chunk.length() > 1 && chunk.length() + text.length() > MAXIMUM_CHUNK_CHARACTERS) {
        closeChunk(chunks, chunk);
      }
      chunk.append(chunk.length() > 1 ? "," : "").append(text);
      boolean boundary = (HASH.hashChars(text) & BOUNDARY_MASK) == 0;
      if (boundary && chunk.length() >= MINIMUM_CHUNK_CHARACTERS) {
        closeChunk(chunks, chunk);
      }
    }
    if (chunk.length() > 1 || chunks.isEmpty()) {
      closeChunk(chunks, chunk);
    }
    return chunks;
  }

  private static void closeChunk(List<String> chunks, StringBuilder chunk) {
    chunks.add(chunk.append(']').toString());
    chunk.setLength(1);
  }

  private static String requireWithinLimit(String kind, String text) {
    int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
    if (bytes > DOCUMENT_LIMIT_BYTES) {
      throw invalid("a document of " + kind + " is too large: " + bytes + " bytes");
    }
    return text;
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
