/** The typed messages between entry instances and their MessagePack codecs. */
@NullMarked
package org.corianderweir.protocol;

import org.jspecify.annotations.NullMarked;
