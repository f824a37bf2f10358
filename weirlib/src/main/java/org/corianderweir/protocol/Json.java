package org.corianderweir.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.LinkedHashMap;
import java.util.Map;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Writes and reads records as JSON; unknown and missing names are errors. */
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

  private Json() {}

  /** Writes a value. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new WeirException(ErrorCode.JSON_INVALID, "can't write JSON", failure);
    }
  }

  /** Writes a value over several lines, for people. */
  public static String writeIndented(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new WeirException(ErrorCode.JSON_INVALID, "can't write JSON", failure);
    }
  }

  /**
   * Reads a value.
   *
   * @throws WeirException with code {@code JSON_INVALID}
   */
  public static <T> T read(String text, Class<T> type) {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new WeirException(ErrorCode.JSON_INVALID, "null is not a " + type.getSimpleName());
      }
      return value;
    } catch (JsonProcessingException failure) {
      String reason = "not a " + type.getSimpleName() + ": " + failure.getOriginalMessage();
      throw new WeirException(ErrorCode.JSON_INVALID, reason, failure);
    }
  }

  /** Returns the fields of a flat record as texts, without those that are absent. */
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
   * Makes a record of named texts.
   *
   * @throws WeirException with code {@code JSON_INVALID}
   */
  public static <T> T fromFields(Map<String, String> fields, Class<T> type) {
    try {
      return MAPPER.convertValue(fields, type);
    } catch (IllegalArgumentException failure) {
      String reason = "not a " + type.getSimpleName() + ": " + failure.getMessage();
      throw new WeirException(ErrorCode.JSON_INVALID, reason, failure);
    }
  }

  /** Returns an object without fields. */
  static ObjectNode emptyObject() {
    return MAPPER.createObjectNode();
  }

  /** Returns a value as a tree. */
  static ObjectNode toTree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Reads a value from a tree.
   *
   * @throws WeirException with code {@code JSON_INVALID}
   */
  static <T> T fromTree(ObjectNode tree, Class<T> type) {
    return read(tree.toString(), type);
  }
}
