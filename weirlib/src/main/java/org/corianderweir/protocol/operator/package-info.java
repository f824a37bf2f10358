/** The operations of the operators' interface with their typed requests and responses. */
@NullMarked
package org.corianderweir.protocol.operator;

import org.jspecify.annotations.NullMarked;
