package org.corianderweir.model.configuration;

/**
 * A former revision whose documents are still kept.
 *
 * @param change the change that made it
 * @param indexHash hash of its index
 */
public record PastRevision(AcceptedChange change, String indexHash) {}
