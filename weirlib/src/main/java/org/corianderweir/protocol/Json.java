package org.corianderweir.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/**
 * Writes and reads records as JSON. Unknown and missing fields are errors, and so is null in a
 * field whose type is not {@link Optional}.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final ObjectReader READER = MAPPER.reader();

  private static final ObjectReader OTHER_VERSION_READER =
      READER
          .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .without(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

  private Json() {}

  /**
   * Writes a value as compact JSON.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the value can't be serialised
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new WeirException(ErrorCode.JSON_INVALID, "can't write JSON", failure);
    }
  }

  /**
   * Writes a value as indented JSON for human readers.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the value can't be serialised
   */
  public static String writeIndented(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new WeirException(ErrorCode.JSON_INVALID, "can't write JSON", failure);
    }
  }

  /**
   * Parses a value of a type.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the text is not JSON of this type
   */
  public static <T> T read(String text, Class<T> type) {
    return parse(text, type, READER);
  }

  /**
   * Parses a value that a program of another version may have written. Fields that only the writer
   * knows are ignored, and components of type {@link Optional} may be missing.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the text is not JSON of this type
   */
  public static <T> T readOtherVersion(String text, Class<T> type) {
    return parse(text, type, OTHER_VERSION_READER);
  }

  private static <T> T parse(String text, Class<T> type, ObjectReader reader) {
    try {
      T value = reader.forType(type).readValue(text);
      if (value == null) {
        throw new WeirException(ErrorCode.JSON_INVALID, "null is not a " + type.getSimpleName());
      }
      return value;
    } catch (JsonProcessingException failure) {
      String reason = "not a " + type.getSimpleName() + ": " + failure.getOriginalMessage();
      throw new WeirException(ErrorCode.JSON_INVALID, reason, failure);
    }
  }

  /** Returns the fields of a flat record as strings by name; leaves out fields that are null. */
  public static Map<String, String> toFields(Object value) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> field : toTree(value).properties()) {
      if (!field.getValue().isNull()) {
        fields.put(field.getKey(), field.getValue().asText());
      }
    }
    return fields;
  }

  /**
   * Creates a record from strings by field name. Components of type {@link Optional} may be left
   * out.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the fields don't fit the record
   */
  public static <T extends Record> T fromFields(Map<String, String> fields, Class<T> type) {
    ObjectNode tree = emptyObject();
    fields.forEach(tree::put);
    for (RecordComponent component : type.getRecordComponents()) {
      if (component.getType() == Optional.class && !tree.has(component.getName())) {
        tree.putNull(component.getName());
      }
    }
    try {
      return MAPPER.convertValue(tree, type);
    } catch (IllegalArgumentException failure) {
      String reason = "not a " + type.getSimpleName() + ": " + failure.getMessage();
      throw new WeirException(ErrorCode.JSON_INVALID, reason, failure);
    }
  }

  /** Returns a new JSON object without fields. */
  static ObjectNode emptyObject() {
    return MAPPER.createObjectNode();
  }

  /** Converts a value to a JSON tree. */
  static ObjectNode toTree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Converts a JSON tree to a value of a type.
   *
   * @throws WeirException with code {@code JSON_INVALID} if the tree does not fit the type
   */
  static <T> T fromTree(ObjectNode tree, Class<T> type) {
    return read(tree.toString(), type);
  }
}
