package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;

/** Applies changes of sites and client blocks. Only the chunks that change are packed again. */
final class ClientBlockEditor {
  private static final int MINIMUM_PREFIX_LENGTH_BITS = 8;
  private static final int FIRST_OCTET_SHIFT_BITS = 24;

  private ClientBlockEditor() {}

  /**
   * Returns the configuration after a change.
   *
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the change is not valid for
   *     the current configuration
   */
  static Configuration.Builder apply(Configuration current, ClientBlockChange change) {
    return switch (change) {
      case ClientBlockChange.SetSite set -> current.toBuilder().sites(withSite(current, set));
      case ClientBlockChange.RemoveSite remove ->
          current.toBuilder().sites(withoutSite(current, remove.site()));
      case ClientBlockChange.SteerBlocks steer ->
          current.toBuilder()
              .clientBlocks(
                  withBlocks(
                      current,
                      blocks(steer.prefixes(), requireSite(current, steer.site()).number())));
      case ClientBlockChange.RemoveBlocks remove ->
          current.toBuilder().clientBlocks(withoutBlocks(current, blocks(remove.prefixes(), 0)));
    };
  }

  private static List<Site> withSite(Configuration current, ClientBlockChange.SetSite set) {
    List<Site> sites = new ArrayList<>(current.sites());
    sites.removeIf(site -> site.name().equals(set.site().name()));
    if (sites.stream().anyMatch(site -> site.number() == set.site().number())) {
      throw invalid("another site has the number " + set.site().number());
    }
    sites.add(set.site());
    sites.sort(Comparator.comparingInt(Site::number));
    return sites;
  }

  private static List<Site> withoutSite(Configuration current, String name) {
    Site removed = requireSite(current, name);
    for (ClientBlockChunk chunk : current.clientBlocks()) {
      for (ClientBlock block : ClientBlockPacking.unpack(chunk.firstOctet(), chunk.packed())) {
        if (block.site() == removed.number()) {
          throw invalid("client block " + block.toCidrNotation() + " is steered to site " + name);
        }
      }
    }
    return current.sites().stream().filter(site -> !site.equals(removed)).toList();
  }

  private static Site requireSite(Configuration current, String name) {
    return current.sites().stream()
        .filter(site -> site.name().equals(name))
        .findFirst()
        .orElseThrow(() -> invalid("no site " + name));
  }

  private static List<ClientBlock> blocks(List<String> prefixes, int site) {
    List<ClientBlock> blocks = new ArrayList<>();
    for (String prefix : prefixes) {
      ClientBlock block = ClientBlock.parse(prefix, site);
      if (block.prefixLength() < MINIMUM_PREFIX_LENGTH_BITS) {
        throw invalid("client block " + prefix + " has a prefix of less than eight bits");
      }
      blocks.add(block);
    }
    return blocks;
  }

  private static List<ClientBlockChunk> withBlocks(
      Configuration current, List<ClientBlock> changed) {
    return editChunks(
        current,
        changed,
        (chunk, block) -> {
          chunk.removeIf(existing -> hasSamePrefix(existing, block));
          chunk.add(block);
        });
  }

  private static List<ClientBlockChunk> withoutBlocks(
      Configuration current, List<ClientBlock> removedBlocks) {
    return editChunks(
        current,
        removedBlocks,
        (chunk, block) -> {
          if (!chunk.removeIf(existing -> hasSamePrefix(existing, block))) {
            throw invalid("no client block " + block.toCidrNotation());
          }
        });
  }

  /** Edits the blocks of a chunk for one block of a change. */
  private interface ChunkEdit {
    void apply(List<ClientBlock> chunk, ClientBlock block);
  }

  private static List<ClientBlockChunk> editChunks(
      Configuration current, List<ClientBlock> blocks, ChunkEdit edit) {
    Map<Integer, String> packed = new TreeMap<>();
    current.clientBlocks().forEach(chunk -> packed.put(chunk.firstOctet(), chunk.packed()));
    Map<Integer, List<ClientBlock>> modified = new TreeMap<>();
    for (ClientBlock block : blocks) {
      List<ClientBlock> chunk =
          modified.computeIfAbsent(
              block.address() >>> FIRST_OCTET_SHIFT_BITS,
              octet ->
                  new ArrayList<>(
                      ClientBlockPacking.unpack(octet, packed.getOrDefault(octet, ""))));
      edit.apply(chunk, block);
    }
    modified.forEach((octet, chunk) -> packed.put(octet, ClientBlockPacking.pack(chunk)));
    return packed.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .map(entry -> new ClientBlockChunk(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static boolean hasSamePrefix(ClientBlock left, ClientBlock right) {
    return left.address() == right.address() && left.prefixLength() == right.prefixLength();
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
