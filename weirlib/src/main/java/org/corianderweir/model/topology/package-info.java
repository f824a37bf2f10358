/** Entry instances, their addresses and their states. */
@NullMarked
package org.corianderweir.model.topology;

import org.jspecify.annotations.NullMarked;
