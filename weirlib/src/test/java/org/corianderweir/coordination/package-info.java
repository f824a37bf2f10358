/** Generated histories of whole fleets over the pure coordination. */
package org.corianderweir.coordination;
