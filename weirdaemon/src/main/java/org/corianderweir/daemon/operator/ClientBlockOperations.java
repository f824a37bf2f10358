package org.corianderweir.daemon.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.configuration.ClientBlockChange;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.operator.ClientBlockMessages;
import org.corianderweir.protocol.operator.Operations;

/** Operations on sites and on the client blocks that are steered to them. */
final class ClientBlockOperations {
  private static final int OCTET_SHIFT = 24;

  private final OperatorContext context;

  ClientBlockOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.SITES, none -> sites(context.configuration().inForce()));
    routes.read(
        Operations.FIND_CLIENT_BLOCK,
        request -> steering(context.configuration().inForce(), request.client()));
    routes.change(
        Operations.SET_SITE,
        (request, current, wallMilliseconds, options) ->
            new ClientBlockChange.SetSite(request.site()));
    routes.change(
        Operations.REMOVE_SITE,
        (request, current, wallMilliseconds, options) ->
            new ClientBlockChange.RemoveSite(request.site()));
    routes.change(
        Operations.STEER_CLIENT_BLOCKS,
        (request, current, wallMilliseconds, options) ->
            new ClientBlockChange.SteerBlocks(request.prefixes(), request.site()));
    routes.change(
        Operations.REMOVE_CLIENT_BLOCKS,
        (request, current, wallMilliseconds, options) ->
            new ClientBlockChange.RemoveBlocks(request.prefixes()));
  }

  private static ClientBlockMessages.Sites sites(Configuration configuration) {
    int blocks =
        configuration.clientBlocks().stream().mapToInt(chunk -> blocks(chunk).size()).sum();
    return new ClientBlockMessages.Sites(configuration.sites(), blocks);
  }

  private static ClientBlockMessages.Steering steering(Configuration configuration, String client) {
    int address =
        ClientBlock.parseAddress(client)
            .orElseThrow(
                () ->
                    new WeirException(
                        ErrorCode.CONFIGURATION_INVALID, "not an IPv4 address: " + client));
    Optional<ClientBlock> longest =
        configuration.clientBlocks().stream()
            .filter(chunk -> chunk.firstOctet() == address >>> OCTET_SHIFT)
            .flatMap(chunk -> blocks(chunk).stream())
            .filter(block -> block.contains(address))
            .max(Comparator.comparingInt(ClientBlock::prefixLength));
    return new ClientBlockMessages.Steering(
        client,
        longest.map(ClientBlock::toCidrNotation),
        longest.flatMap(
            block ->
                configuration.sites().stream()
                    .filter(site -> site.number() == block.site())
                    .findFirst()));
  }

  private static List<ClientBlock> blocks(ClientBlockChunk chunk) {
    return ClientBlockPacking.unpack(chunk.firstOctet(), chunk.packed());
  }
}
