package org.corianderweir.logic.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Finds the site of a client's address by longest prefix match. There is one shard of blocks for
 * each first octet, and one more for all blocks with prefixes of less than eight bits. Immutable: a
 * change returns a new table that shares the unchanged shards with the old one.
 */
public final class ClientBlockTable {
  /** A table without blocks. */
  public static final ClientBlockTable EMPTY = new ClientBlockTable(emptyShards(), List.of());

  private static final int SHARD_COUNT = 256;
  private static final int SHARD_BITS = 8;
  private static final int SHARD_SHIFT_BITS = 24;
  private static final int NO_SITE = -1;

  private final ClientBlockShard[] shards;
  private final ClientBlockShard shortPrefixes;

  /** The key of a block: two blocks with the same prefix replace each other. */
  private record Prefix(int address, int prefixLength) {}

  private ClientBlockTable(ClientBlockShard[] shards, List<ClientBlock> shortPrefixes) {
    this.shards = shards;
    this.shortPrefixes = new ClientBlockShard(shortPrefixes);
  }

  /**
   * Returns the number of the site that an address is steered to; empty if no block contains it.
   */
  public OptionalInt siteOf(int address) {
    int site = siteNumber(address);
    return site == NO_SITE ? OptionalInt.empty() : OptionalInt.of(site);
  }

  /**
   * Returns the number of the site that an address is steered to, or -1 if no block contains it.
   */
  public int siteNumber(int address) {
    int site = shards[address >>> SHARD_SHIFT_BITS].siteOf(address);
    return site == NO_SITE ? shortPrefixes.siteOf(address) : site;
  }

  /** Returns the number of blocks. */
  public int size() {
    return Arrays.stream(shards).mapToInt(ClientBlockShard::size).sum() + shortPrefixes.size();
  }

  /**
   * Returns a table in which all blocks of a first octet are replaced.
   *
   * @param firstOctet from 0 to 255
   * @param blocks the new blocks with that first octet, with prefixes of at least eight bits
   */
  public ClientBlockTable withShard(int firstOctet, List<ClientBlock> blocks) {
    ClientBlockShard[] changed = shards.clone();
    changed[firstOctet] = new ClientBlockShard(blocks);
    return new ClientBlockTable(changed, shortPrefixes.blocks());
  }

  /** Returns a table with blocks added; an added block replaces one with the same prefix. */
  public ClientBlockTable with(List<ClientBlock> added) {
    Map<Integer, List<ClientBlock>> byShard = new HashMap<>();
    List<ClientBlock> shortBlocks = new ArrayList<>();
    for (ClientBlock block : added) {
      if (block.prefixLength() < SHARD_BITS) {
        shortBlocks.add(block);
      } else {
        byShard
            .computeIfAbsent(block.address() >>> SHARD_SHIFT_BITS, unused -> new ArrayList<>())
            .add(block);
      }
    }
    ClientBlockShard[] changed = shards.clone();
    byShard.forEach(
        (shard, blocks) ->
            changed[shard] = new ClientBlockShard(merge(changed[shard].blocks(), blocks)));
    return new ClientBlockTable(changed, merge(shortPrefixes.blocks(), shortBlocks));
  }

  /** Returns the blocks with a first octet and prefixes of at least eight bits. */
  public List<ClientBlock> blocks(int firstOctet) {
    return shards[firstOctet].blocks();
  }

  /** Returns the blocks with prefixes of less than eight bits. */
  public List<ClientBlock> shortPrefixBlocks() {
    return shortPrefixes.blocks();
  }

  private static List<ClientBlock> merge(List<ClientBlock> existing, List<ClientBlock> added) {
    Map<Prefix, ClientBlock> byPrefix = new HashMap<>();
    existing.forEach(
        block -> byPrefix.put(new Prefix(block.address(), block.prefixLength()), block));
    added.forEach(block -> byPrefix.put(new Prefix(block.address(), block.prefixLength()), block));
    return List.copyOf(byPrefix.values());
  }

  private static ClientBlockShard[] emptyShards() {
    ClientBlockShard[] empty = new ClientBlockShard[SHARD_COUNT];
    Arrays.fill(empty, ClientBlockShard.EMPTY);
    return empty;
  }
}
