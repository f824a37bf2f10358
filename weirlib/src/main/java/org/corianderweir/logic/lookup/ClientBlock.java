package org.corianderweir.logic.lookup;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/**
 * A block of client addresses (an IPv4 prefix) and the site to which its clients are steered.
 *
 * @param address first address of the block as a 32-bit integer; the bits after the prefix are zero
 * @param prefixLength number of leading bits that all addresses have in common, from 0 to 32
 * @param site number of the site
 */
public record ClientBlock(int address, int prefixLength, int site) {
  /** Largest number of a site. */
  public static final int SITE_MAXIMUM = 65_534;

  private static final int ADDRESS_BITS = 32;
  private static final int OCTET_MAXIMUM = 255;
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");

  /**
   * Validates the components.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if a component is out of range or
   *     the address has bits after the prefix
   */
  public ClientBlock {
    if (prefixLength < 0 || prefixLength > ADDRESS_BITS) {
      throw invalid("prefix length " + prefixLength + " is not from 0 to 32");
    }
    if (site < 0 || site > SITE_MAXIMUM) {
      throw invalid("site number " + site + " is not from 0 to " + SITE_MAXIMUM);
    }
    if ((address & mask(prefixLength)) != address) {
      throw invalid("the address has bits after the prefix");
    }
  }

  /**
   * Parses a block.
   *
   * @param text prefix in CIDR notation, for example {@code 10.1.0.0/16}
   * @param site number of the site
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the text is not a valid prefix
   */
  public static ClientBlock parse(String text, int site) {
    int slash = text.indexOf('/');
    if (slash < 0) {
      throw invalid("'" + text + "' has no prefix length");
    }
    int address =
        parseAddress(text.substring(0, slash))
            .orElseThrow(() -> invalid("'" + text + "' does not begin with an IPv4 address"));
    try {
      return new ClientBlock(address, Integer.parseInt(text.substring(slash + 1)), site);
    } catch (NumberFormatException notANumber) {
      throw invalid("'" + text + "' does not end with a prefix length");
    }
  }

  /** Parses an IPv4 address in dotted decimal notation; empty if the text is not one. */
  public static Optional<Integer> parseAddress(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int address = 0;
    for (int group = 1; group <= matcher.groupCount(); group++) {
      int octet = Integer.parseInt(matcher.group(group));
      if (octet > OCTET_MAXIMUM) {
        return Optional.empty();
      }
      address = address << Byte.SIZE | octet;
    }
    return Optional.of(address);
  }

  /** Returns whether the block contains an address. */
  public boolean contains(int candidate) {
    return (candidate & mask(prefixLength)) == address;
  }

  /** Returns the prefix in CIDR notation, for example {@code 10.1.0.0/16}. */
  public String toCidrNotation() {
    return "%d.%d.%d.%d/%d"
        .formatted(
            address >>> 24, address >>> 16 & 255, address >>> 8 & 255, address & 255, prefixLength);
  }

  /** Returns the network mask of a prefix length. */
  static int mask(int prefixLength) {
    return prefixLength == 0 ? 0 : -1 << ADDRESS_BITS - prefixLength;
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, "client block: " + message);
  }
}
