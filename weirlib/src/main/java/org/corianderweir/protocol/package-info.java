/**
 * Messages between entry instances with their MessagePack codecs, and the JSON texts of the
 * configuration and of the operators' interface.
 */
@NullMarked
package org.corianderweir.protocol;

import org.jspecify.annotations.NullMarked;
